import { fork } from "node:child_process";
import { once } from "node:events";

/** Puts an endpoint whose answers have no end in the place of the sound one beside a machine. */
export async function startFlood({ ip, ports, endpoint }, { workers, manner }) {
    await endpoint.stopServing();
    const child = fork(new URL("flood.mjs", import.meta.url), [ip, String(ports.app), String(workers), manner]);
    await once(child, "message");
    return child;
}
