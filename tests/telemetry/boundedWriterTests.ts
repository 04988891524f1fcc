import { execFileSync } from "node:child_process";
import { closeSync, constants, mkdtempSync, openSync, readSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import { createBoundedWriter } from "../../src/telemetry/BoundedWriter.js";
import { waitFor } from "../../src/utils/time.js";

const LINE = "x".repeat(1_000);
const LINES = 5_000;
const MAX_BYTES = 100_000;

t.test("a reader that has stopped holds nobody up, and what it misses is counted", async t => {
    const folder = mkdtempSync(join(tmpdir(), "log-"));
    const path = join(folder, "pipe");
    execFileSync("mkfifo", [path]);
    const reader = openSync(path, constants.O_RDONLY | constants.O_NONBLOCK);
    const descriptor = openSync(path, constants.O_WRONLY);
    t.teardown(async () => {
        closeSync(reader);
        rmSync(folder, { recursive: true });
    });
    const writer = createBoundedWriter({
        descriptor,
        maxBytes: MAX_BYTES,
        describeDropped: lines => `dropped ${lines}`,
    });
    let ticks = 0;
    const timer = setInterval(() => ticks++, 5);
    for (let line = 0; line < LINES; line++) {
        writer.writeLine(LINE);
        if (line % 500 === 0) {
            await waitFor(5);
        }
    }
    await waitFor(50);
    t.ok(ticks > 5, "timers go on while the pipe is full");
    const buffer = Buffer.alloc(1 << 20);
    let text = "";
    for (let reads = 0; reads < 40 && !text.includes("dropped"); reads++) {
        try {
            text += buffer.toString("utf8", 0, readSync(reader, buffer));
        } catch {
            await waitFor(20);
        }
        writer.writeLine("more");
        await waitFor(5);
    }
    clearInterval(timer);
    t.match(text, /dropped \d+/);
    await writer.flush();
});

t.test("lines of a write that fails are counted as dropped", async t => {
    const folder = mkdtempSync(join(tmpdir(), "log-"));
    t.teardown(() => rmSync(folder, { recursive: true }));
    const path = join(folder, "log");
    writeFileSync(path, "");
    const unwritable = openSync(path, constants.O_RDONLY);
    const told: number[] = [];
    const writer = createBoundedWriter({
        descriptor: unwritable,
        maxBytes: MAX_BYTES,
        describeDropped(lines) {
            told.push(lines);
            return `dropped ${lines}`;
        },
    });
    writer.writeLine("one");
    writer.writeLine("two");
    await writer.flush();
    writer.writeLine("three");
    await writer.flush();
    closeSync(unwritable);
    t.strictSame(told, [2]);
});
