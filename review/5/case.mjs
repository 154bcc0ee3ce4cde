/**
 * A machine freezes while the endpoint beside it sends large answers. The other machine must still end the requests at
 * the timeout of their route.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createConfiguration, createRoute, runCase } from "../lib/mesh.mjs";

const timeoutMs = 1_500;
const deadlineMs = 4_000;
const latenessMs = 500;
const requests = 12;
const freezeMs = 4_000;
/** An answer is sent in two parts, with a pause between them. */
const firstPart = "a".repeat(1_300_000);
const secondPart = "z".repeat(300_000);
const pauseMs = 800;
const freezeAfterMs = 400;
const minUnanswered = 8;

const services = ["archive", "fans"];
const routes = [
    createRoute({ prefix: "/archive/", type: "download", service: "archive", timeoutS: timeoutMs / 1_000 }),
    createRoute({ prefix: "/fans/", type: "idempotent", service: "fans" }),
];

void runCase(async (mesh, hasTrouble) => {
    await mesh.start(createConfiguration({ version: "r1", routes, services }));
    const handle = ({ id }, response, endpoint) => {
        response.writeHead(200, {
            "x-attempt-id": id,
            "x-response-signature": `signed.${endpoint.id}`,
            "content-length": firstPart.length + secondPart.length,
        });
        response.write(firstPart);
        setTimeout(() => response.end(secondPart), pauseMs);
    };
    const client = await mesh.addMachine({ service: "fans", handle });
    const frozen = await mesh.addMachine({ service: "archive", handle });
    await mesh.settle();
    const sent = [];
    for (let number = 1; number <= requests; number++) {
        sent.push(mesh.send(client, { id: `archive-${number}`, path: `/archive/${number}`, deadlineMs, patienceMs: deadlineMs }));
    }
    await sleep(freezeAfterMs);
    if (hasTrouble) {
        frozen.signal("SIGSTOP");
        mesh.record("frozen", { machine: frozen.name });
        setTimeout(() => {
            frozen.signal("SIGCONT");
            mesh.record("woken", { machine: frozen.name });
        }, freezeMs);
    }
    const answers = await Promise.all(sent);
    const lasting = answers.filter(({ elapsedMs }) => elapsedMs > timeoutMs);
    const late = lasting.filter(({ elapsedMs }) => elapsedMs > timeoutMs + latenessMs);
    const broken = late.length >= minUnanswered && late.length > lasting.length / 4;
    const endedAfterMs = answers.map(({ elapsedMs }) => Math.round(elapsedMs)).join(" ");
    const neverAnswered = answers.filter(({ status }) => status === 0).length;
    return { broken, unansweredAtTimeout: lasting.length, halfASecondLater: late.length, neverAnswered, endedAfterMs };
});
