/**
 * The tRPC router of a node's control listener. It checks every message by schema and hands it to the handlers.
 */
import type { FetchReply } from "@bilberrycroft/coordination.dissemination";
import type { Entry, Exchange, JoinReply, TableCopy } from "@bilberrycroft/coordination.membership";
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import {
    type ClaimAnswer,
    type ConfigurationPush,
    type DrainReport,
    type StatusReport,
} from "./messages";
import { entrySchema, exchangeSchema, nameSchema, pushSchema, versionSchema } from "./schemas";

/** What a node does with the messages of its control listener. */
export interface ControlHandlers {
    exchange(exchange: Exchange): Promise<Exchange>;
    join(entry: Entry): Promise<JoinReply>;
    zoneTable(zone: string): Promise<TableCopy>;
    /** A version newer than `baseVersion`, as a delta if the base is still held. */
    fetchConfiguration(baseVersion: number): Promise<FetchReply>;
    pushConfiguration(push: ConfigurationPush): Promise<void>;
    claimOutcome(claim: { readonly key: string; readonly attempt: string }): Promise<ClaimAnswer>;
    status(): Promise<StatusReport>;
    /** Metrics in the Prometheus text format. */
    metrics(): Promise<string>;
    /** Starts a planned stop of the node. */
    drain(): Promise<DrainReport>;
}

// Errors carry no stack to peers, whatever the environment of the process says.
const trpc = initTRPC.create({ isDev: false });

const claimSchema = z.object({ key: nameSchema, attempt: nameSchema });

/** Parser that checks by schema and gives the immutable type of the message. */
function createParser<Message>(schema: z.ZodType): (value: unknown) => Message {
    return value => schema.parse(value) as Message;
}

const exchangeInput = createParser<Exchange>(exchangeSchema);
const joinInput = createParser<Entry>(entrySchema);
const pushInput = createParser<ConfigurationPush>(pushSchema);

/** Creates the router of one node. */
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

/** Type of the router, for clients. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
