/**
 * Tells whether a process listens at an address.
 */
import { connect } from "node:net";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { splitAddress } from "./addresses";

const probeTimeoutMs: Milliseconds = 500;

/** Whether a process accepts connections at the address. */
export function probeListener(address: string): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect({ ...splitAddress(address), timeout: probeTimeoutMs });
        const settle = (isListening: boolean): void => {
            socket.destroy();
            resolve(isListening);
        };
        socket.on("connect", () => settle(true));
        // A target that does not answer may be cut off; only a refused connection shows that its process is gone.
        socket.on("timeout", () => settle(true));
        socket.on("error", error => settle((error as NodeJS.ErrnoException).code !== "ECONNREFUSED"));
    });
}
