/**
 * The store is away for a moment and comes back from a copy some seconds old. Later the operator moves a route to
 * another service.
 */
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { send } from "../support-3/client.mjs";
import { createConfiguration, createRoute, hostname, Mesh, outboundPort, runCase } from "../support-3/mesh.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const services = ["pieds", "seances"];
const copyAgeS = 4;
const awayS = 1;
const contactS = 3;
const configApplyS = 2;
/** The largest time by which an unstable core stretches the bound of configuration. */
const maxStretchS = 5;
const observedS = 6;
const requestGapMs = 100;

const mesh = new Mesh({ folder: dirname(fileURLToPath(import.meta.url)) });

function createVersion(version, movedTo) {
    const kept = createRoute({ name: "r-book", prefix: "/puka111/", type: "non_idempotent", service: "seances" });
    const moved = createRoute({ name: "r-look", prefix: "/leny950/", type: "idempotent", service: movedTo });
    return createConfiguration({ version, routes: [kept, moved], services });
}

/** The operator writes a version; the store's response is the acknowledgement. */
function configure(version, movedTo) {
    mesh.store.put("config", "main", createVersion(version, movedTo));
    mesh.record("acknowledged", { version, movedTo, revision: mesh.store.revision });
    return mesh.now;
}

async function startMesh() {
    await mesh.start(createVersion("r7", "pieds"));
    for (let number = 0; number < 6; number++) {
        const zone = number < 3 ? "plateau" : "medina";
        await mesh.addMachine({ service: number % 3 === 2 ? "seances" : "pieds", zone, slots: 12 });
    }
    await mesh.waitUntilReady();
    await sleep(2_000);
}

/** The drill; what the operator wrote since the copy is written again, in its order. */
async function drill(copy, versions) {
    mesh.store.goAway();
    mesh.record("store-away");
    await sleep(awayS * 1_000);
    mesh.store.comeBackFrom(copy);
    mesh.record("store-back", { revision: mesh.store.revision, era: mesh.store.era });
    versions.forEach(([version, movedTo]) => configure(version, movedTo));
}

/** Sends requests to all machines; returns those that were run by the service that the version has left. */
async function observe(ackAt, boundS) {
    const sent = [];
    const pending = [];
    const endsAt = ackAt + boundS + observedS;
    while (mesh.now < endsAt) {
        for (const { ip, name } of mesh.machines) {
            const sentAt = mesh.now;
            pending.push(send({ ip, port: outboundPort, host: hostname, path: "/leny950/1", record: mesh.record })
                .then(({ id, status }) => sent.push({ id, status, sentAt, name })));
        }
        await sleep(requestGapMs);
    }
    await Promise.all(pending);
    const late = sent.filter(({ sentAt }) => sentAt > ackAt + boundS);
    const services = new Map(mesh.entries.filter(({ event }) => event === "run").map(({ id, service }) => [id, service]));
    return { late, stale: late.filter(({ id }) => services.get(id) === "pieds") };
}

await runCase(mesh, async () => {
    await startMesh();
    const copy = mesh.store.takeCopy();
    const copiedAt = mesh.now;
    // Planned work: one endpoint is added to four, with its machine; the system notes it in the store.
    await mesh.waitUntilReady([await mesh.addMachine({ service: "pieds", zone: "medina", slots: 12 })]);
    configure("r9", "pieds");
    await sleep(Math.max(0, copiedAt + copyAgeS - mesh.now) * 1_000);
    if (hasTrouble) {
        await drill(copy, [["r9", "pieds"]]);
    }
    // The machines are in touch again this long after the disruption.
    await sleep((contactS + 1) * 1_000);
    const ackAt = configure("r12", "seances");
    const boundS = configApplyS + maxStretchS;
    const { late, stale } = await observe(ackAt, boundS);
    mesh.record("observed", { late: late.length, stale: stale.length });
    const machines = new Set(stale.map(({ name }) => name));
    return stale.length === 0
        ? []
        : [`CONFIG: ${stale.length} of ${late.length} requests sent more than ${boundS} s after the acknowledgement of r12`
            + ` were run by the old service, at ${machines.size} of ${mesh.machines.length} machines`];
});
