/**
 * Checks whether a process listens on an address.
 */
import { connect } from "node:net";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { splitAddress } from "./addresses";

const probeTimeoutMs: Milliseconds = 500;

/** Resolves to `false` only if the connection is refused; never rejects. */
export function probeListener(address: string): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect({ ...splitAddress(address), timeout: probeTimeoutMs });
        const settle = (isListening: boolean): void => {
            socket.destroy();
            resolve(isListening);
        };
        socket.on("connect", () => settle(true));
        // An unresponsive target may be unreachable; only a refused connection proves that its process is gone.
        socket.on("timeout", () => settle(true));
        socket.on("error", error => settle((error as NodeJS.ErrnoException).code !== "ECONNREFUSED"));
    });
}
