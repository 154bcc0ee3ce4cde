/**
 * Follows the state of another node and fetches content from it, on a connection of its own: content may be large, and
 * must not hold up calls.
 */
import { connect } from "node:net";
import {
    type ContentRequest,
    decodeContent,
    encodeFrame,
    encodeMessage,
    type Frame,
    FrameKind,
    parsePeerState,
    type PeerState,
    type ReceivedContent,
} from "@bilberrycroft/protocol.forwarding";
import { splitAddress } from "@bilberrycroft/transport.calls";
import { FrameConnection } from "./frameConnection";

/** What a node hears from one that it follows. */
export interface FollowObserver {
    stateHeard(state: PeerState): void;
    contentHeard(content: ReceivedContent): void;
    /** The connection could not be made or broke, other than by `close`. */
    lost(reason: string): void;
}

/** A node that is followed. */
export interface FollowedNode {
    /** Asks for content; the response is told to the observer. */
    fetch(request: ContentRequest): void;
    close(): void;
}

/** Follows the node at the address. */
export function followNode(address: string, observer: FollowObserver): FollowedNode {
    let isOpen = true;
    const connection = new FrameConnection(connect({ ...splitAddress(address), noDelay: true }), {
        frame: frame => {
            if (isOpen && !dispatchFrame(frame, observer)) {
                connection.close();
            }
        },
        closed: reason => {
            if (isOpen) {
                observer.lost(reason);
            }
        },
    });
    connection.send(encodeFrame(FrameKind.Follow, 0));
    return {
        fetch: request => {
            connection.send(encodeMessage(FrameKind.Fetch, 0, request));
        },
        close: () => {
            isOpen = false;
            connection.close();
        },
    };
}

/** Whether the frame is one that a followed node sends. */
function dispatchFrame({ kind, payload }: Frame, observer: FollowObserver): boolean {
    if (kind === FrameKind.State) {
        const state = parsePeerState(payload);
        if (state !== undefined) {
            observer.stateHeard(state);
        }
        return state !== undefined;
    }
    const content = kind === FrameKind.Content ? decodeContent(payload) : undefined;
    if (content !== undefined) {
        observer.contentHeard(content);
    }
    return content !== undefined;
}
