import {
    authenticate,
    AuthenticationKind,
    type Credentials,
    CredentialsKind,
    digestKey,
    type MeshConfiguration,
    type Organisation,
    OrganisationIndex,
    RouteTable,
} from "@bilberrycroft/state.routes";
import { afterEach, describe, expect, it, vi } from "vitest";

const createOrganisations = (keyCount: number, keysEach: number): Organisation[] =>
    Array.from({ length: keyCount / keysEach }, (_, index) => ({
        name: `o-${index}`,
        keys: Array.from({ length: keysEach }, (_key, key) => digestKey(`key-${index}-${key}`)),
        priority: index % 3 === 0 ? undefined : index % 3,
        callsPerSecond: undefined,
        burst: 0,
    }));
const createCredentials = (key: string): Credentials => ({ kind: CredentialsKind.Key, key: Buffer.from(key, "latin1") });

describe("OrganisationIndex", () => {
    afterEach(() => {
        vi.restoreAllMocks();
    });

    // Guards against a look-up that scans: a node with many keys would answer each call more slowly.
    it.each([100, 10_000, 100_000])("looks a key up once in a map and reads no list of keys, with %s keys", keyCount => {
        let keyReads = 0;
        const organisations = createOrganisations(keyCount, 10).map(organisation => ({
            ...organisation,
            get keys() {
                keyReads++;
                return organisation.keys;
            },
        }));
        const index = new OrganisationIndex(organisations);
        keyReads = 0;
        const get = vi.spyOn(Map.prototype, "get");
        const found = ["key-0-0", "key-3-9", "none"].map(key => index.find(Buffer.from(key))?.name);
        const lookUps = get.mock.calls.length;
        vi.restoreAllMocks();
        expect(found).toEqual(["o-0", "o-3", undefined]);
        expect([lookUps, keyReads]).toEqual([3, 0]);
    });

    it("is taken over by the next version only if the organisations are the same", () => {
        const create = (version: number, organisations: readonly Organisation[]): MeshConfiguration => ({
            version,
            routes: [],
            services: [],
            callerLimits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
            organisations,
        });
        const first = new RouteTable(create(1, createOrganisations(20, 2)));
        const same = new RouteTable(create(2, createOrganisations(20, 2)), first);
        const changed = new RouteTable(create(3, createOrganisations(20, 4)), same);
        expect(same.organisations).toBe(first.organisations);
        expect(changed.organisations.find(Buffer.from("key-0-3"))?.name).toBe("o-0");
        expect(first.organisations.find(Buffer.from("key-0-3"))).toBeUndefined();
    });
});

describe("authentication", () => {
    const index = new OrganisationIndex(createOrganisations(4, 1));
    const accepted = (organisation: string | undefined, priority?: number): Record<string, unknown> =>
        ({ kind: AuthenticationKind.Accepted, organisation, priority });
    const refused = (cause: string): Record<string, unknown> => ({ kind: AuthenticationKind.Refused, cause });
    const absent: Credentials = { kind: CredentialsKind.Absent };
    const malformed: Credentials = { kind: CredentialsKind.Malformed };
    const parent = { organisation: "o-9" };
    const cases = [
        { name: "a known key", credentials: createCredentials("key-1-0"), expected: accepted("o-1", 1) },
        { name: "a known key without priority", credentials: createCredentials("key-0-0"), expected: accepted("o-0") },
        { name: "a key in another case", credentials: createCredentials("KEY-1-0"), expected: refused("unknown key") },
        { name: "an unknown key", credentials: createCredentials("none"), expected: refused("unknown key") },
        { name: "odd credentials", credentials: malformed, expected: refused("malformed") },
        { name: "no key", credentials: absent, expected: refused("no key") },
        { name: "no key, anonymous", credentials: absent, allowsAnonymous: true, expected: accepted(undefined) },
        { name: "an unknown key, anonymous", credentials: createCredentials("none"), allowsAnonymous: true, expected: refused("unknown key") },
        { name: "odd credentials, anonymous", credentials: malformed, allowsAnonymous: true, expected: refused("malformed") },
        { name: "no key, inner call", credentials: absent, parent, expected: accepted("o-9") },
        { name: "no key, parent of none", credentials: absent, parent: {}, expected: accepted(undefined) },
        { name: "a known key, inner call", credentials: createCredentials("key-1-0"), parent, expected: accepted("o-1", 1) },
        { name: "an unknown key, inner call", credentials: createCredentials("none"), parent, expected: refused("unknown key") },
    ];
    it.each(cases)("of a call with $name", ({ credentials, allowsAnonymous = false, parent: outer, expected }) => {
        const isAccepted = expected.kind === AuthenticationKind.Accepted;
        const hasKey = isAccepted ? credentials.kind === CredentialsKind.Key : undefined;
        expect(authenticate(index, { credentials, allowsAnonymous, parent: outer })).toEqual({ ...expected, hasKey });
    });
});
