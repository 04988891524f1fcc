import { readFileSync } from "node:fs";
import t from "tap";
import { EventId } from "../../src/telemetry/index.js";

t.test("the catalogue lists every event", async t => {
    const catalogue = readFileSync("docs/EVENTS.md", "utf8");
    const names = Object.keys(EventId).filter(name => Number.isNaN(Number(name)));
    const missing = names.filter(
        name => !new RegExp(`\\| ${EventId[name as keyof typeof EventId]} +\\| ${name} `).test(catalogue),
    );
    t.strictSame(missing, []);
});
