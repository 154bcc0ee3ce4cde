/**
 * The tRPC router of a node's control listener. It validates each input and delegates to the handlers.
 */
import type { FetchReply } from "@bilberrycroft/coordination.dissemination";
import type { Entry, Exchange, JoinReply, TableCopy } from "@bilberrycroft/coordination.membership";
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import {
    type ClaimReply,
    type ConfigurationPush,
    type DrainReport,
    type StatusReport,
} from "./messages";
import { entrySchema, exchangeSchema, nameSchema, pushSchema, versionSchema } from "./schemas";

/** Handlers of the control procedures of a node. */
export interface ControlHandlers {
    exchange(exchange: Exchange): Promise<Exchange>;
    join(entry: Entry): Promise<JoinReply>;
    zoneTable(zone: string): Promise<TableCopy>;
    /** Returns a version newer than `baseVersion`, as a delta if the node still has the base. */
    fetchConfiguration(baseVersion: number): Promise<FetchReply>;
    pushConfiguration(push: ConfigurationPush): Promise<void>;
    claimOutcome(claim: { readonly key: string; readonly attempt: string }): Promise<ClaimReply>;
    status(): Promise<StatusReport>;
    /** Returns metrics in the Prometheus text format. */
    metrics(): Promise<string>;
    /** Starts a graceful shutdown of the node. */
    drain(): Promise<DrainReport>;
}

// Without this, tRPC sends stack traces to peers unless NODE_ENV is "production".
const trpc = initTRPC.create({ isDev: false });

const claimSchema = z.object({ key: nameSchema, attempt: nameSchema });

/** Creates a tRPC input parser that validates by schema and returns the readonly message type. */
function createParser<Message>(schema: z.ZodType): (value: unknown) => Message {
    return value => schema.parse(value) as Message;
}

const exchangeInput = createParser<Exchange>(exchangeSchema);
const joinInput = createParser<Entry>(entrySchema);
const pushInput = createParser<ConfigurationPush>(pushSchema);

export function createControlRouter(handlers: ControlHandlers) {
    const { procedure } = trpc;
    return trpc.router({
        exchange: procedure.input(exchangeInput).mutation(({ input }) => handlers.exchange(input)),
        join: procedure.input(joinInput).mutation(({ input }) => handlers.join(input)),
        zoneTable: procedure.input(nameSchema).mutation(({ input }) => handlers.zoneTable(input)),
        fetchConfiguration: procedure.input(versionSchema).mutation(({ input }) => handlers.fetchConfiguration(input)),
        pushConfiguration: procedure.input(pushInput).mutation(({ input }) => handlers.pushConfiguration(input)),
        claimOutcome: procedure.input(claimSchema).mutation(({ input }) => handlers.claimOutcome(input)),
        status: procedure.query(() => handlers.status()),
        metrics: procedure.query(() => handlers.metrics()),
        drain: procedure.mutation(() => handlers.drain()),
    });
}

/** Router type for tRPC clients. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
