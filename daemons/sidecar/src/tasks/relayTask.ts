/**
 * Spares the store: most nodes of a zone learn of changes from the few that read it.
 *
 * The task follows the nodes that the selection names, fetches what they know and this node does not, and tells its own
 * followers its state after each change and at least every half second.
 */
import { parseObjectChanges, type RelayNode, type SourceSelection, stateIntervalMs } from "@bilberrycroft/coordination.relay";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import {
    type ContentRequest,
    encodeContent,
    type PeerState,
    type ReceivedContent,
    RelayedContent,
    type StateVersions,
} from "@bilberrycroft/protocol.forwarding";
import { type FollowedNode, type Follower, followNode } from "@bilberrycroft/transport.forwarding";
import type { CollectionTask } from "./collectionTask";
import type { ConfigurationTask } from "./configurationTask";

/** Options of a `RelayTask`. */
export interface RelayTaskOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly selection: SourceSelection;
    readonly configurations: CollectionTask;
    readonly configuration: ConfigurationTask;
    readonly nodes: CollectionTask;
    /** Newest state of this node. */
    stateMark(): StateVersions;
}

/** The role is reviewed twice in each interval of states. */
const tickMs: Milliseconds = stateIntervalMs / 2;
/** A reader's own watch usually brings a change about as soon as it hears of it; then it need not fetch it. */
const ownWatchMs: Milliseconds = 200;
/** A fetch without a response is repeated after this time; a whole configuration takes part of it on a narrow link. */
const fetchTimeoutMs: Milliseconds = 1_000;

interface FollowedPeer {
    readonly node: RelayNode;
    readonly connection: FollowedNode;
    readonly fetchedAt: Map<RelayedContent, Milliseconds>;
    mark: StateVersions | undefined;
}

/** Followers and followed nodes of one node. */
export class RelayTask {
    private readonly followers = new Set<Follower>();
    private readonly followed = new Map<string, FollowedPeer>();
    private readonly encoded = new Map<string, Buffer>();
    private timer: NodeJS.Timeout | undefined;
    private toldAt: Milliseconds = 0;
    private toldState = "";
    private isLeaving = false;
    private described = "";

    constructor(private readonly options: RelayTaskOptions) {}

    start(): void {
        this.timer = setInterval(() => this.tick(), tickMs);
    }

    stop(): void {
        clearInterval(this.timer);
        this.followed.forEach(({ connection }) => connection.close());
        this.followed.clear();
    }

    /** Followers are to look for another node: this one stops. */
    leave(): void {
        this.isLeaving = true;
        this.tellFollowers();
    }

    /** A node follows this one from now on. */
    addFollower(follower: Follower): void {
        this.followers.add(follower);
        follower.sendState(this.ownState());
    }

    removeFollower(follower: Follower): void {
        this.followers.delete(follower);
    }

    /** The nodes changed. */
    setNodes(nodes: readonly RelayNode[]): void {
        this.options.selection.setNodes(nodes);
        this.review();
    }

    /** The configuration or the nodes changed. */
    changed(): void {
        this.encoded.clear();
        this.tellFollowers();
    }

    /** Content for a follower, encoded. */
    content({ content, after }: ContentRequest): Buffer {
        const key = `${content} ${after}`;
        const known = this.encoded.get(key);
        if (known !== undefined) {
            return known;
        }
        const { configuration, configurations, nodes } = this.options;
        const value = content === RelayedContent.Configuration
            ? configuration.createRelayed(after, configurations.revision)
            : nodes.changesSince(after);
        const encoded = encodeContent(content, value);
        this.encoded.set(key, encoded);
        return encoded;
    }

    private tick(): void {
        this.review();
        const isDue = this.options.clock.now() - this.toldAt >= stateIntervalMs - tickMs / 2;
        if (isDue || describeState(this.ownState()) !== this.toldState) {
            this.tellFollowers();
        }
        this.followed.forEach(peer => this.fetchMissing(peer));
    }

    /** Takes on the role that the selection decides for. */
    private review(): void {
        const { selection, configurations, nodes, log } = this.options;
        const { readsStore, isSubstitute, follows } = selection.decide();
        configurations.setReading(readsStore, isSubstitute);
        nodes.setReading(readsStore, isSubstitute);
        const wanted = new Map(follows.map(node => [node.node, node]));
        for (const [name, { node, connection }] of this.followed) {
            if (wanted.get(name)?.address !== node.address) {
                connection.close();
                this.followed.delete(name);
            }
        }
        for (const node of follows) {
            if (!this.followed.has(node.node)) {
                this.follow(node);
            }
        }
        const description = `${readsStore} ${follows.map(({ node }) => node).join(" ")}`;
        if (description !== this.described) {
            this.described = description;
            log.info("relay-role", { readsStore, follows: follows.map(({ node }) => node).join(" ") });
        }
    }

    private follow(node: RelayNode): void {
        const name = node.node;
        const connection = followNode(node.address, {
            stateReceived: state => this.stateHeard(name, state),
            contentReceived: content => this.contentHeard(name, content),
            lost: reason => {
                this.followed.delete(name);
                this.options.selection.markLost(name);
                this.options.log.info("followed-node-lost", { peer: name, reason });
                this.review();
            },
        });
        this.followed.set(name, { node, connection, fetchedAt: new Map(), mark: undefined });
    }

    private stateHeard(name: string, { state, readsStore }: PeerState): void {
        const peer = this.followed.get(name);
        if (peer === undefined) {
            return;
        }
        peer.mark = state;
        const { selection, configurations } = this.options;
        const before = selection.isSource(name);
        selection.recordState(name, readsStore);
        if (before !== selection.isSource(name)) {
            this.review();
        }
        if (!this.isBehind(state)) {
            return;
        }
        if (configurations.isCurrent || !selection.isSource(name)) {
            setTimeout(() => this.fetchMissing(peer), ownWatchMs);
        }
        else {
            this.fetchMissing(peer);
        }
    }

    private isBehind(mark: StateVersions): boolean {
        const own = this.options.stateMark();
        return mark.configurationVersion > own.configurationVersion || mark.registryRevision > own.registryRevision;
    }

    private fetchMissing(peer: FollowedPeer): void {
        const own = this.options.stateMark();
        const { mark } = peer;
        if (mark !== undefined && mark.configurationVersion > own.configurationVersion) {
            this.fetch(peer, RelayedContent.Configuration, own.configurationVersion);
        }
        if (mark !== undefined && mark.registryRevision > own.registryRevision) {
            this.fetch(peer, RelayedContent.Nodes, this.options.nodes.revision);
        }
    }

    private fetch(peer: FollowedPeer, content: RelayedContent, after: number): void {
        const now = this.options.clock.now();
        // Two sources tell of the same change; the first one is asked, the other one only if it does not respond.
        const isAsked = [...this.followed.values()].some(({ fetchedAt }) =>
            now - (fetchedAt.get(content) ?? Number.NEGATIVE_INFINITY) < fetchTimeoutMs);
        if (!isAsked) {
            peer.fetchedAt.set(content, now);
            peer.connection.fetch({ content, after });
        }
    }

    private contentHeard(name: string, { content, value }: ReceivedContent): void {
        const before = this.options.stateMark();
        const { configuration, configurations, nodes, log } = this.options;
        if (content === RelayedContent.Configuration) {
            const revision = configuration.takeRelayed(value, name);
            if (revision !== undefined) {
                configurations.knownUpTo(revision);
            }
        }
        else {
            const changes = parseObjectChanges(value);
            if (changes === undefined) {
                log.warn("content-malformed", { from: name, content });
                return;
            }
            nodes.take(changes);
        }
        const peer = this.followed.get(name);
        if (peer !== undefined && !isSameMark(before, this.options.stateMark())) {
            // More may have changed while the content was on its way.
            peer.fetchedAt.delete(content);
            this.fetchMissing(peer);
        }
    }

    private ownState(): PeerState {
        const { configurations, nodes, stateMark } = this.options;
        return { state: stateMark(), readsStore: configurations.isCurrent && nodes.isCurrent && !this.isLeaving };
    }

    private tellFollowers(): void {
        const state = this.ownState();
        this.toldAt = this.options.clock.now();
        this.toldState = describeState(state);
        this.followers.forEach(follower => follower.sendState(state));
    }
}

function isSameMark(left: StateVersions, right: StateVersions): boolean {
    return left.configurationVersion === right.configurationVersion && left.registryRevision === right.registryRevision;
}

function describeState({ state, readsStore }: PeerState): string {
    return `${state.configurationVersion} ${state.registryRevision} ${readsStore}`;
}
