/**
 * A faulty endpoint spoils a small part of its answers: a header line has a space before its colon. The sidecars must
 * outlive such an answer.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createConfiguration, createRoute, runCase } from "../lib/mesh.mjs";

/** The disruption comes in spells; the site names 5.5 s for one. */
const spellMs = 5_500;
const pauseMs = 2_500;
const spells = 4;
const intervalMs = 40;
/** A third of the endpoints, and a small part of their answers; the site names 0.35 and 0.02. */
const faultyEndpoints = new Set(["i-1", "i-2"]);
const spoiledShare = 0.02;
const maxEnds = 3;

const services = ["archive", "fans"];
const routes = [
    createRoute({ prefix: "/archive/", type: "idempotent", service: "archive" }),
    createRoute({ prefix: "/fans/", type: "idempotent", service: "fans" }),
];

/** Writes an answer that is none in the protocol, as the complete rest of the connection. */
function respondSpoiled(response, id, endpoint) {
    response.socket.end(`HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-signature: signed.${endpoint.id}\r\n`
        + "x-cache : hit\r\ncontent-length: 2\r\n\r\nok");
}

void runCase(async (mesh, hasTrouble) => {
    await mesh.start(createConfiguration({ version: "r1", routes, services }));
    let spoiled = 0;
    let startedAt = Number.POSITIVE_INFINITY;
    const isInSpell = () => (performance.now() - startedAt) % (spellMs + pauseMs) < spellMs;
    let answersOfFaulty = 0;
    const handle = ({ id }, response, endpoint) => setTimeout(() => {
        const isFaulty = hasTrouble && faultyEndpoints.has(endpoint.id) && isInSpell();
        answersOfFaulty += isFaulty ? 1 : 0;
        if (isFaulty && spoiled < spoiledShare * answersOfFaulty) {
            spoiled++;
            mesh.record("spoiled", { id });
            respondSpoiled(response, id, endpoint);
        }
        else {
            endpoint.respond(response, id);
        }
    }, 20);
    for (const service of ["archive", "archive", "fans", "fans", "fans", "fans"]) {
        await mesh.addMachine({ service, handle });
    }
    await mesh.settle();
    mesh.machines.forEach(machine => machine.keepRunning());
    const sent = [];
    startedAt = performance.now();
    const endsAt = startedAt + spells * (spellMs + pauseMs);
    for (let number = 1; performance.now() < endsAt; number++) {
        for (const machine of mesh.machines.slice(2)) {
            sent.push(mesh.send(machine, { id: `${machine.name}-${number}`, path: `/archive/${number}` }));
        }
        await sleep(intervalMs);
    }
    const answers = await Promise.all(sent);
    const ends = mesh.machines.map(({ name, ends: list }) =>
        ({ name, ends: list.filter(({ isTold }) => !isTold).length }));
    ends.forEach(end => mesh.record("ended-by-itself", end));
    const failing = ends.filter(end => end.ends >= maxEnds).length;
    const unanswered = answers.filter(({ status }) => status === 0).length;
    const broken = failing >= Math.max(2, mesh.machines.length / 10);
    return { broken, ends, spoiled, answersOfFaulty, requests: answers.length, unanswered };
});
