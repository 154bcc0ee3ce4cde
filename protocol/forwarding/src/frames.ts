/**
 * Frames on a connection between two nodes.
 *
 * Many offers share one connection, so that taking one back costs a frame instead of a connection. A frame is its
 * length (32 bits), its kind (8 bits), the number of its offer (32 bits) and a payload.
 */

/** Kinds of frames. */
export enum FrameKind {
    /** Caller's node: offers a call. Payload: `OfferMessage`. */
    Offer = 1,
    /** Target's node: the offer waits. */
    Queued = 2,
    /** Target's node: a slot is free; the call runs when its body arrives. */
    Granted = 3,
    /** Caller's node: the body, if only an empty one. */
    Body = 4,
    /** Caller's node: nobody waits for the call any more. */
    Withdrawn = 5,
    /** Target's node: the call did not run. Payload: `Refusal`. */
    Refused = 6,
    /** Target's node: the call may have run and has no usable answer. Payload: `Loss`. */
    Lost = 7,
    /** Target's node: the head of an answer. Payload: `AnswerHead`. */
    AnswerHead = 8,
    /** Target's node: a part of the answer's body. */
    AnswerData = 9,
    /** Target's node: the answer is whole. */
    AnswerEnd = 10,
    /** Caller's node: asks for a report without a call. */
    Ask = 11,
    /** Target's node: responds to `Ask`. Payload: `NodeReport`. */
    Report = 12,
    /** A node wants to hear the other one's state, now and after each change. */
    Follow = 13,
    /** To a node that follows: the own state. Payload: `PeerState`. */
    State = 14,
    /** From a node that follows: asks for content. Payload: `ContentRequest`. */
    Fetch = 15,
    /** Responds to `Fetch`. Payload: `encodeContent`. */
    Content = 16,
}

/** One frame. */
export interface Frame {
    readonly kind: FrameKind;
    readonly offer: number;
    readonly payload: Buffer;
}

const lengthBytes = 4;
const headBytes = 9;
/** Bodies of requests are not split; this holds the largest and its head. */
const maxFrameBytes = 128 * 1_024 * 1_024;
const empty = Buffer.alloc(0);

/** Encodes a frame. */
export function encodeFrame(kind: FrameKind, offer: number, payload: Buffer = empty): Buffer {
    const frame = Buffer.allocUnsafe(headBytes + payload.length);
    frame.writeUInt32BE(headBytes - lengthBytes + payload.length, 0);
    frame.writeUInt8(kind, lengthBytes);
    frame.writeUInt32BE(offer, lengthBytes + 1);
    payload.copy(frame, headBytes);
    return frame;
}

/** Encodes a frame with a message. */
export function encodeMessage(kind: FrameKind, offer: number, message: unknown): Buffer {
    return encodeFrame(kind, offer, Buffer.from(JSON.stringify(message), "utf8"));
}

/** Cuts a stream of bytes into frames. */
export class FrameReader {
    private chunks: Buffer[] = [];
    private size = 0;

    /** Takes bytes as they arrive; `undefined` if they are no frames. */
    push(chunk: Buffer): Frame[] | undefined {
        this.chunks.push(chunk);
        this.size += chunk.length;
        const frames: Frame[] = [];
        let length = this.nextLength();
        while (length !== undefined && length >= headBytes && length <= maxFrameBytes) {
            if (this.size < length) {
                return frames;
            }
            frames.push(this.take(length));
            length = this.nextLength();
        }
        return length === undefined ? frames : undefined;
    }

    /** Length of the next frame with its length field, as soon as that is known. */
    private nextLength(): number | undefined {
        if (this.size < lengthBytes) {
            return undefined;
        }
        if ((this.chunks[0]?.length ?? 0) < lengthBytes) {
            this.join();
        }
        return lengthBytes + (this.chunks[0] as Buffer).readUInt32BE(0);
    }

    private take(length: number): Frame {
        if ((this.chunks[0]?.length ?? 0) < length) {
            this.join();
        }
        const first = this.chunks[0] as Buffer;
        const rest = first.subarray(length);
        this.size -= length;
        if (rest.length > 0) {
            this.chunks[0] = rest;
        }
        else {
            this.chunks.shift();
        }
        return {
            kind: first.readUInt8(lengthBytes),
            offer: first.readUInt32BE(lengthBytes + 1),
            payload: first.subarray(headBytes, length),
        };
    }

    private join(): void {
        this.chunks = [Buffer.concat(this.chunks)];
    }
}
