import fc from "fast-check";
import t from "tap";
import { decodeConfiguration } from "../../platform/decodeConfiguration.js";
import { decodeEndpoint, parseAddress } from "../../platform/decodeEndpoint.js";
import { decodeSharedParts } from "../../platform/decodeSharedParts.js";
import { buildDocument } from "../direct/fixtures.js";

const ENTRY = {
    service: "app",
    address: "10.0.0.1:8080",
    zone: "a",
    version: "v1",
    slots: 8,
    state: "ready",
    sequence: 4,
    born: 17,
    group: { name: "g0", epoch: 1, rank: 2, state: "open" },
    size: 16,
};

function decodeEntry(value: unknown) {
    return decodeEndpoint({ key: "servers/i-1", value: JSON.stringify(value), revision: 1 });
}

t.test("a configuration is decoded into the product's own types", t => {
    const problems: string[] = [];
    t.matchSnapshot(decodeConfiguration(JSON.stringify(buildDocument(7)), problem => problems.push(problem)));
    t.strictSame(problems, []);
    t.end();
});

t.test("a part that can't be read is reported and left out; the others hold", t => {
    const problems: string[] = [];
    const document = buildDocument(7);
    document.routes[1] = { ...document.routes[1], path_prefix: "no-slash" };
    const decoded = decodeConfiguration(JSON.stringify(document), problem => problems.push(problem));
    t.equal("value" in decoded && decoded.value.routes.length, 2);
    t.equal(problems.length, 1);
    t.match(problems[0], /^route 1: /);
    t.end();
});

t.test("an endpoint's entry is decoded; one of another writer names no endpoint", t => {
    t.matchSnapshot(decodeEntry(ENTRY));
    const spoiled = [
        { ...ENTRY, state: "perhaps" },
        { ...ENTRY, address: "somewhere:80" },
        { ...ENTRY, address: "10.0.0.1:0" },
        { ...ENTRY, slots: "8" },
        { ...ENTRY, service: undefined },
        [],
        null, // eslint-disable-line no-restricted-syntax
        7,
    ];
    spoiled.forEach(entry => t.ok("problem" in decodeEntry(entry), JSON.stringify(entry)));
    t.end();
});

t.test("no bytes make a decoder fail", t => {
    fc.assert(
        fc.property(fc.oneof(fc.json(), fc.string()), text => {
            decodeConfiguration(text, () => undefined);
            decodeEndpoint({ key: "servers/x", value: text, revision: 1 });
            parseAddress(text);
        }),
        { numRuns: 500 },
    );
    const part = fc.oneof(fc.jsonValue(), fc.constant(undefined));
    fc.assert(
        fc.property(fc.constantFrom(...Object.keys(ENTRY)), part, (name, value) => {
            decodeEntry({ ...ENTRY, [name]: value });
        }),
    );
    fc.assert(
        fc.property(fc.constantFrom(...Object.keys(buildDocument(1))), part, (name, value) => {
            decodeConfiguration(JSON.stringify({ ...buildDocument(1), [name]: value }), () => undefined);
        }),
    );
    t.end();
});

t.test("the shared parts of a prompt are all but the last, each once", t => {
    const decode = (list: string): string[] => decodeSharedParts({ "prefix-hash": list });
    t.strictSame(decode("5C1e07a2:800, 91bd3f06:410,91bd3f06:410,e4402b7d:250"), ["5c1e07a2", "91bd3f06"]);
    t.strictSame(decode("e4402b7d:250"), []);
    t.strictSame(decode(`,:5,${"a".repeat(99)}:1,e4402b7d:250`), [], "what is no identifier is left out");
    t.strictSame(decodeSharedParts({}), []);
    t.end();
});
