/**
 * Runs the control decisions of all nodes in one process. Messages are passed by reference after a fixed delay; their
 * size is that of their JSON text.
 */
import {
    DisseminationInputKind,
    type DisseminationOutput,
    type DisseminationOutputKind,
    type FetchReply,
    type Peer,
} from "@bilberrycroft/coordination.dissemination";
import {
    type MembershipInput,
    MembershipInputKind,
    type MembershipOutput,
    MembershipOutputKind,
} from "@bilberrycroft/coordination.membership";
import { createSnapshot } from "@bilberrycroft/state.snapshots";
import { HandlingTimes, Schedule } from "./schedule";
import { DecisionNode, type Placement } from "./decisionNode";
import { ModelStore } from "./modelStore";
import { createRulesText, createServiceName } from "./rulesFile";

const oneWayDelayMs = 1;
/** Length of `{"result":{"data":` and the closing braces around each response. */
const responseEnvelopeBytes = 20;
const pushTimeoutMs = 5_000;
const regionCount = 3;

/** Returns `true` if a node at `from` cannot reach a node at `to`. */
export type PartitionRule = (from: Placement, to: Placement) => boolean;

interface ModelCall {
    readonly from: DecisionNode;
    readonly to: string;
    readonly timeoutMs: number;
    readonly payload: unknown;
    /** Runs on the target, which responds through `reply`. */
    handle(target: DecisionNode, reply: (payload: unknown) => void): void;
    /** Runs once on the sender; `reply` is `undefined` if the call failed or timed out. */
    onSettled(reply: unknown): void;
}

export class DecisionFleet {
    readonly schedule = new Schedule();
    readonly store = new ModelStore();
    readonly handlingTimes = new HandlingTimes();
    /** Running nodes and nodes on lost hosts, by address. */
    readonly nodes = new Map<string, DecisionNode>();
    isPartitioned: PartitionRule = () => false;
    /** Number of pushes and fetches. */
    configurationCalls = 0;
    private changeCount = 0;
    private startCount = 0;

    /** Assigns hosts to zones round robin. */
    static createPlacement(index: number, zones: number): Placement {
        const zone = index % zones;
        return {
            host: `host-${index}`,
            zone: `zone-${zone}`,
            region: `region-${zone % regionCount}`,
            service: createServiceName(index),
        };
    }

    start(placement: Placement): DecisionNode {
        const startNumber = ++this.startCount;
        const node = new DecisionNode(this, placement, `${placement.host}-${startNumber}`, startNumber);
        this.nodes.set(node.address, node);
        node.start();
        return node;
    }

    /** Stops a node. Calls to it are refused, or time out if its host is lost. */
    stop(node: DecisionNode, isHostLost: boolean): void {
        node.isRunning = false;
        if (!isHostLost) {
            this.nodes.delete(node.address);
        }
    }

    getRunningNodes(): readonly DecisionNode[] {
        return [...this.nodes.values()].filter(node => node.isRunning);
    }

    /** Writes the next version to the store, notifies the nodes and returns the version. */
    acceptNextVersion(): number {
        const version = (this.store.current?.version ?? 0) + 1;
        const snapshot = createSnapshot({
            version,
            parent: version - 1,
            text: createRulesText(this.changeCount++),
            changeId: `change-${version}`,
            operator: "bench",
            acceptedAt: this.schedule.clock.wallTime(),
        });
        this.store.current = snapshot;
        // The operator client reads the current version, writes it to the archive and writes the next version.
        this.store.calls.read++;
        this.store.calls.write += 2;
        this.schedule.runAfter(oneWayDelayMs, () =>
            this.getRunningNodes().forEach(node => node.handleStoreUpdate(snapshot)));
        return version;
    }

    sendMembershipRequest(from: DecisionNode, output: MembershipOutput): void {
        switch (output.kind) {
            case MembershipOutputKind.SendExchange: {
                const { call, to, timeoutMs, exchange } = output;
                return this.sendRequest(from, { to, timeoutMs, payload: exchange }, {
                    request: token => ({ kind: MembershipInputKind.ExchangeRequested, token, exchange }),
                    reply: reply => reply.kind === MembershipOutputKind.ReplyExchange
                        ? { kind: MembershipInputKind.ExchangeReplied, call, exchange: reply.exchange }
                        : undefined,
                    failure: { kind: MembershipInputKind.ExchangeFailed, call },
                });
            }
            case MembershipOutputKind.SendJoin: {
                const { call, to, timeoutMs, entry } = output;
                return this.sendRequest(from, { to, timeoutMs, payload: entry }, {
                    request: token => ({ kind: MembershipInputKind.JoinRequested, token, entry }),
                    reply: reply => reply.kind === MembershipOutputKind.ReplyJoin
                        ? { kind: MembershipInputKind.JoinReplied, call, reply: reply.reply }
                        : undefined,
                    failure: { kind: MembershipInputKind.JoinFailed, call },
                });
            }
            case MembershipOutputKind.PullZone: {
                const { call, to, timeoutMs, zone } = output;
                return this.sendRequest(from, { to, timeoutMs, payload: zone }, {
                    request: token => ({ kind: MembershipInputKind.ZoneRequested, token, zone }),
                    reply: reply => reply.kind === MembershipOutputKind.ReplyZone
                        ? { kind: MembershipInputKind.ZoneReplied, call, table: reply.table }
                        : undefined,
                    failure: { kind: MembershipInputKind.ZoneFailed, call },
                });
            }
            default:
        }
    }

    sendFetch(
        from: DecisionNode,
        output: Extract<DisseminationOutput, { kind: DisseminationOutputKind.Fetch }>,
        onSettled: (reply: FetchReply | undefined, peer: Peer) => void,
    ): void {
        this.configurationCalls++;
        this.send({
            from,
            to: output.from.controlAddress,
            timeoutMs: output.timeoutMs,
            payload: output.baseVersion,
            handle: (target, reply) => target.handleFetch(output.baseVersion, reply),
            onSettled: reply => onSettled(reply as FetchReply | undefined, output.from),
        });
    }

    /** Sends an eager push to each peer that the output lists. */
    sendPush(
        from: DecisionNode,
        output: Extract<DisseminationOutput, { kind: DisseminationOutputKind.Announce }>,
    ): void {
        const { head, delta } = output;
        const sender = { node: from.node, controlAddress: from.address };
        for (const peer of output.to) {
            this.configurationCalls++;
            this.send({
                from,
                to: peer.controlAddress,
                timeoutMs: pushTimeoutMs,
                payload: { from: sender, head, delta },
                handle: (target, reply) => {
                    target.handleDisseminationInput(delta === undefined
                        ? {
                                kind: DisseminationInputKind.HeadReceived,
                                from: sender,
                                head,
                                rememberedVersion: 0,
                                inReply: false,
                            }
                        : { kind: DisseminationInputKind.DeltaReceived, from: sender, delta });
                    reply("");
                },
                onSettled: () => undefined,
            });
        }
    }

    private sendRequest(
        from: DecisionNode,
        call: Pick<ModelCall, "to" | "timeoutMs" | "payload">,
        messages: {
            readonly request: (token: number) => MembershipInput;
            readonly reply: (reply: MembershipOutput) => MembershipInput | undefined;
            readonly failure: MembershipInput;
        },
    ): void {
        this.send({
            ...call,
            from,
            handle: (target, reply) => target.handleRequest(messages.request, reply),
            onSettled: reply => {
                const input = reply === undefined ? undefined : messages.reply(reply as MembershipOutput);
                from.handleMembershipInput(input ?? messages.failure);
            },
        });
    }

    private send(call: ModelCall): void {
        const { from, to, timeoutMs } = call;
        let settled = false;
        const settle = (reply: unknown): void => {
            if (!settled) {
                settled = true;
                call.onSettled(reply);
            }
        };
        const requestBytes = countJsonBytes(call.payload);
        recordTraffic(from, requestBytes, 1);
        const target = this.nodes.get(to);
        if (target === undefined) {
            return this.schedule.runAfter(oneWayDelayMs, () => settle(undefined));
        }
        this.schedule.runAfter(timeoutMs, () => settle(undefined));
        if (this.isPartitioned(from.placement, target.placement)) {
            return;
        }
        this.schedule.runAfter(oneWayDelayMs, () => {
            if (!target.isRunning) {
                return;
            }
            recordTraffic(target, requestBytes, 1);
            call.handle(target, reply => {
                const replyBytes = countJsonBytes(extractPayload(reply)) + responseEnvelopeBytes;
                recordTraffic(target, replyBytes, 0);
                this.schedule.runAfter(oneWayDelayMs, () => {
                    recordTraffic(from, replyBytes, 0);
                    settle(reply);
                });
            });
        });
    }
}

function recordTraffic({ traffic }: DecisionNode, bytes: number, callEnds: number): void {
    traffic.bytes += bytes;
    traffic.callEnds += callEnds;
}

/** Returns the part of a reply that is sent over the network. */
function extractPayload(reply: unknown): unknown {
    const { exchange, table, reply: join } = reply as { exchange?: unknown; table?: unknown; reply?: unknown };
    return exchange ?? table ?? join ?? reply;
}

function countJsonBytes(payload: unknown): number {
    return Buffer.byteLength(JSON.stringify(payload));
}
