/**
 * The time of day of a machine jumps back, and the endpoint on it crashes and starts again under the id that it had.
 * Much later it leaves, and says so.
 */
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { send } from "../support-3/client.mjs";
import { createConfiguration, createRoute, hostname, Mesh, outboundPort, runCase } from "../support-3/mesh.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
/** As in the site file: clock_step with x = 2400. */
const stepBackMs = 2_400;
const downMs = 200;
const contactS = 3;
const drainS = 2;
const servesOnS = 10;
/** Each client polls every three seconds. */
const pollMs = 3_000;
const requestsAtOnce = 12;
const workMs = 100;

const mesh = new Mesh({ folder: dirname(fileURLToPath(import.meta.url)) });

async function startMesh() {
    const routes = [createRoute({ name: "r-look", prefix: "/leny950/", type: "idempotent", service: "pieds" })];
    await mesh.start(createConfiguration({ version: "r7", routes, services: ["pieds", "seances"] }));
    for (let number = 0; number < 4; number++) {
        await mesh.addMachine({ service: number < 2 ? "pieds" : "seances", slots: 12, workMs });
    }
    await mesh.waitUntilReady();
}

/** Clients at all machines ask at the same time, every few seconds, until `isOver` says so. */
async function press(isOver) {
    const pending = [];
    while (!isOver()) {
        for (let count = 0; count < requestsAtOnce; count++) {
            const { ip } = mesh.machines[count % mesh.machines.length];
            const request = { ip, port: outboundPort, host: hostname, path: `/leny950/${count}`, record: mesh.record };
            pending.push(send(request));
        }
        mesh.record("asked");
        await sleep(pollMs);
    }
    await Promise.all(pending);
}

/** The endpoint is replaced, as a release does it: the next one has another id. */
async function replaceEndpoint({ endpoint }) {
    endpoint.state = "draining";
    await endpoint.sendHeartbeat();
    await sleep((drainS + 0.5) * 1_000);
    await endpoint.deregister();
    endpoint.stop();
    Object.assign(endpoint, { id: `${endpoint.id}-2`, born: Date.now(), sequence: 0, state: "ready" });
    await endpoint.start();
    mesh.record("endpoint-replaced", { endpoint: endpoint.id, born: endpoint.born, status: await endpoint.sendHeartbeat() });
}

/** Resolves when the clients have just been answered, so that no request comes while the endpoint is down. */
async function waitUntilIdle() {
    const { length } = mesh.entries;
    while (!mesh.entries.slice(length).some(({ event }) => event === "asked")) {
        await sleep(5);
    }
    await sleep(2 * workMs);
}

/** The endpoint crashes and is back under its id; `born` is the time of day of its machine. */
async function crashAndRestart({ endpoint }, timeOfDayOffsetMs) {
    await waitUntilIdle();
    mesh.record("endpoint-crashed", { endpoint: endpoint.id, born: endpoint.born });
    endpoint.stop();
    await sleep(downMs);
    Object.assign(endpoint, { born: Date.now() + timeOfDayOffsetMs, sequence: 0 });
    await endpoint.start();
    mesh.record("endpoint-restarted", { endpoint: endpoint.id, born: endpoint.born, status: await endpoint.sendHeartbeat() });
}

await runCase(mesh, async () => {
    await startMesh();
    let isOver = false;
    const pressing = press(() => isOver);
    const [machine] = mesh.machines;
    const { endpoint } = machine;
    await replaceEndpoint(machine);
    if (hasTrouble) {
        mesh.record("clock-step", { machine: machine.name, byMs: -stepBackMs });
        await crashAndRestart(machine, -stepBackMs);
    }
    await sleep((2 * contactS + 2) * 1_000);
    await waitUntilIdle();
    endpoint.state = "draining";
    const status = await endpoint.sendHeartbeat();
    const ackAt = mesh.now;
    mesh.record("leaving-acknowledged", { endpoint: endpoint.id, status });
    await sleep(servesOnS * 1_000);
    isOver = true;
    await pressing;
    const late = mesh.entries.filter(({ event, at, endpoint: ran }) =>
        event === "run" && ran === endpoint.id && at > ackAt + drainS);
    return status === 200 && late.length > 0
        ? [`DRAIN: ${late.length} requests reached endpoint ${endpoint.id} more than ${drainS} s after the acknowledgement`
            + ` that it leaves, the last one after ${(late.at(-1).at - ackAt).toFixed(1)} s`]
        : [];
});
