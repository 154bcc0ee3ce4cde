/**
 * Several sidecars are killed at the same moment and are started again one after the other, while tenants ask more than
 * their quota.
 */
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createId, send } from "../support-3/client.mjs";
import { createConfiguration, createRoute, hostname, Mesh, outboundPort, runCase } from "../support-3/mesh.mjs";
import { computeBound, countFullestWindow } from "../support-3/quotaCheck.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const machineCount = 16;
/** As in the site file: share 0.55. */
const killedShare = 0.55;
const firstRestartMs = 300;
const restartGapMs = 240;
const bounds = { windowS: 5, overage: 0.1, slack: 20 };
const quota = { ratePerS: 5, burst: 5 };
const tenants = ["pulo343", "pulo1152", "pulo1504"].map((name, index) => ({
    Name: name,
    ApiKeys: [`kmgjqnirth5mgjy5rcp${index}`],
    Priority: 1,
    RatePerS: quota.ratePerS,
    Burst: quota.burst,
}));
/** A quota is 1.6 times what a tenant usually asks (`quota_x` of the site); `hot_tenant` asks up to 7.5 times that. */
const askedPerS = 7.5 * quota.ratePerS / 1.6;
const calmS = 10;
const pressS = 6.5;
const killAfterMs = 1_300;

const mesh = new Mesh({
    folder: dirname(fileURLToPath(import.meta.url)),
    settings: {
        Contracts: "base,drain,config,cost,retry,recover,tenants,quota,platform",
        "Bounds.QuotaWindowS": String(bounds.windowS),
        "Bounds.QuotaOverage": String(bounds.overage),
        "Bounds.QuotaSlack": String(bounds.slack),
    },
});

async function startMesh() {
    const routes = [createRoute({ name: "r-list", prefix: "/leny950/", type: "idempotent", service: "roster", allowAnonymous: false })];
    await mesh.start(createConfiguration({ version: "r7", routes, services: ["roster"], tenants }));
    for (let number = 0; number < machineCount; number++) {
        await mesh.addMachine({ service: "roster", zone: number % 2 === 0 ? "pnw-b" : "pnw-a", slots: 12, workMs: 5 });
    }
    await mesh.waitUntilReady();
}

function killTogether() {
    const victims = mesh.machines.slice(0, Math.floor(killedShare * machineCount));
    return Promise.all(victims.map((machine, index) =>
        mesh.killAndRestart(machine, firstRestartMs + restartGapMs * index)));
}

/** All tenants ask more than their quota at all machines; returns what was sent. */
async function press() {
    const sent = [];
    const pending = [];
    const endsAt = mesh.now + pressS;
    let next = 0;
    while (mesh.now < endsAt) {
        for (const { Name, ApiKeys: [key] } of tenants) {
            const { ip } = mesh.machines[next++ % machineCount];
            const id = createId();
            sent.push({ id, tenant: Name, sentAt: mesh.now });
            const headers = { authorization: `Bearer ${key}` };
            const request = { ip, port: outboundPort, host: hostname, path: "/leny950/1", headers, id };
            pending.push(send({ ...request, record: mesh.record }));
        }
        await sleep(1_000 / askedPerS);
    }
    await Promise.all(pending);
    return sent;
}

await runCase(mesh, async () => {
    await startMesh();
    await sleep(calmS * 1_000);
    const killing = hasTrouble ? sleep(killAfterMs).then(killTogether) : Promise.resolve();
    const sent = await press();
    await killing;
    const bound = computeBound({ ...quota, ...bounds });
    const ranAt = new Map(mesh.entries.filter(({ event }) => event === "run").map(({ id, at }) => [id, at]));
    const broken = [];
    for (const { Name } of tenants) {
        const runs = sent.filter(({ id, tenant }) => tenant === Name && ranAt.has(id))
            .map(({ id, sentAt }) => ({ sentAt, runAt: ranAt.get(id) }));
        const fullest = countFullestWindow(runs, bounds.windowS);
        mesh.record("tenant", { tenant: Name, ran: runs.length, fullestWindow: fullest, bound });
        if (fullest > bound) {
            broken.push(`QUOTA: tenant ${Name} had ${fullest} requests run in ${bounds.windowS} s, the bound is ${bound.toFixed(1)}`);
        }
    }
    return broken;
});
