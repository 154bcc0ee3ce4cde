/**
 * Responses of one call that have begun to arrive and may not be needed: only one of them is delivered, and a call that
 * is not repeatable runs on, and responds, after its caller has left.
 */
import type { BufferBudget } from "@bilberrycroft/coordination.forwarding";
import type { ResponseHead } from "@bilberrycroft/protocol.forwarding";
import { IncomingResponse } from "./incomingResponse";

export class UndeliveredResponses {
    private readonly responses = new Set<IncomingResponse>();
    private isClosed = false;

    constructor(private readonly budget: BufferBudget) {}

    /** Adds a response that begins to arrive. It is not kept if the call has ended. */
    add(head: ResponseHead): IncomingResponse {
        const response = new IncomingResponse(head, this.budget);
        if (this.isClosed) {
            response.discard();
        }
        else {
            this.responses.add(response);
        }
        return response;
    }

    /** Removes the response that is delivered. */
    handOver(response: IncomingResponse): void {
        this.responses.delete(response);
    }

    /** Discards all others, because the call has ended. */
    close(): void {
        this.isClosed = true;
        this.responses.forEach(response => response.discard());
        this.responses.clear();
    }
}
