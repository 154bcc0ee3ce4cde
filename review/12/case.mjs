/**
 * Three endpoints of a service crash, one after the other, while clients ask it for one and the same thing; each is
 * back soon. Then all sidecars are killed, as at the end of a day, and are started again.
 */
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { send } from "../support-3/client.mjs";
import { createConfiguration, createRoute, hostname, Mesh, outboundPort, runCase } from "../support-3/mesh.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
/** `CRASHES=0` leaves the kill alone. */
const hasCrashes = hasTrouble && process.env.CRASHES !== "0";
/** One of them is less than .15. */
const endpointCount = 7;
const otherCount = 9;
const crashCount = 3;
const beforeS = 10;
const downMs = 1_500;
const crashGapMs = 2_000;
const restartMs = 600;
const recoveryS = 15;
const observedS = 10;
/** With this tick it is the usual load of `readings` on the site, 31 a second for each endpoint. */
const tickMs = 13;
const requestsPerTick = 3;

const mesh = new Mesh({ folder: dirname(fileURLToPath(import.meta.url)) });

async function startMesh() {
    const limits = { timeoutS: 1.2, latencyS: 0.3 };
    const routes = [createRoute({ name: "r-read", prefix: "/leny950/", type: "idempotent", service: "readings", ...limits })];
    const content = { routes, services: ["readings", "alarms"] };
    await mesh.start(createConfiguration({ version: "r7", ...content }));
    for (let number = 0; number < endpointCount + otherCount; number++) {
        await mesh.addMachine({ service: number < endpointCount ? "readings" : "alarms", slots: 6, workMs: 76 });
    }
    await mesh.waitUntilReady();
    await sleep(1_000);
    return content;
}

/** Clients at all machines view the state of one shed. */
async function press(isOver) {
    const sent = [];
    const pending = [];
    const ask = () => {
        const { ip } = mesh.machines[sent.length % mesh.machines.length];
        const entry = { sentAt: mesh.now, status: 0 };
        sent.push(entry);
        const request = { ip, port: outboundPort, host: hostname, path: "/leny950/shed-7", deadlineMs: 1_200 };
        pending.push(send({ ...request, record: mesh.record }).then(({ status }) => {
            entry.status = status;
        }));
    };
    while (!isOver()) {
        Array.from({ length: requestsPerTick }, ask);
        await sleep(tickMs);
    }
    await Promise.all(pending);
    return sent;
}

/** The endpoint crashes and comes back as another incarnation. */
async function crash({ endpoint }) {
    mesh.record("endpoint-crashed", { endpoint: endpoint.id });
    endpoint.stop();
    await sleep(downMs);
    Object.assign(endpoint, { id: `${endpoint.id}-2`, born: Date.now(), sequence: 0, running: 0, waiting: [] });
    await endpoint.start();
    await endpoint.sendHeartbeat();
    mesh.record("endpoint-back", { endpoint: endpoint.id });
}

function shareServed(sent) {
    return sent.filter(({ status }) => status === 200).length / sent.length;
}

await runCase(mesh, async () => {
    const content = await startMesh();
    let isOver = false;
    const pressing = press(() => isOver);
    await sleep(beforeS * 1_000);
    if (hasCrashes) {
        for (const machine of mesh.machines.slice(0, crashCount)) {
            void crash(machine);
            await sleep(crashGapMs);
        }
    }
    const faultAt = mesh.now;
    if (hasTrouble) {
        // The final fault strikes right after a configuration is acknowledged.
        mesh.store.put("config", "main", createConfiguration({ version: "r9", ...content }));
        await Promise.all(mesh.machines.map(machine => mesh.killAndRestart(machine, restartMs)));
        await mesh.waitUntilReady();
    }
    const backAt = mesh.now;
    mesh.record("back");
    await sleep((recoveryS + observedS) * 1_000);
    isOver = true;
    const sent = await pressing;
    const before = shareServed(sent.filter(({ sentAt }) => sentAt < faultAt));
    const after = shareServed(sent.filter(({ sentAt }) => sentAt > backAt + recoveryS));
    mesh.record("observed", { before, after });
    return before >= 0.25 && after < 0.25
        ? [`RECOVER: ${(100 * after).toFixed(1)} % of the requests sent more than ${recoveryS} s after the machines were back`
            + ` were served; before the final fault it was ${(100 * before).toFixed(1)} %`]
        : [];
});
