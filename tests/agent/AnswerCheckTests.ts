import t from "tap";
import { createEventStreamCheck } from "../../src/agent/AnswerCheck.js";
import { EventField } from "../../src/protocol/index.js";

const DONE = "data: [DONE]\n\n";

function buildEvent(choice: string): string {
    return `data: {"id":"c1","choices":[{"index":0,${choice}}]}\n\n`;
}

function buildUsage(tokens: number): string {
    return `data: {"id":"c1","choices":[],"usage":{"completion_tokens":${tokens}}}\n\n`;
}

/** Checks an answer in pieces of every size, and returns the distinct results. */
function checkPieces(answer: string, wantedFields: EventField[] = []): unknown[] {
    const bytes = Buffer.from(answer);
    const results = new Map<string, unknown>();
    for (let size = 1; size <= bytes.length; size++) {
        const check = createEventStreamCheck({ wantedFields: new Set(wantedFields) });
        const passed: Buffer[] = [];
        let fault;
        for (let at = 0; at < bytes.length && fault === undefined; at += size) {
            const part = check.checkChunk(bytes.subarray(at, at + size));
            passed.push(part.passed);
            fault = part.fault;
        }
        fault ??= check.checkEnd();
        const result = { passed: Buffer.concat(passed).toString(), fault };
        results.set(JSON.stringify(result), result);
    }
    return [...results.values()];
}

const several = buildEvent('"delta":{"content":"a b"},"token_ids":[7,8]') + buildEvent('"token_ids":[9],"delta":{}');

t.test("a stream whose events hold several tokens each is complete if it holds all of them", t => {
    t.matchSnapshot(checkPieces(several + buildUsage(3) + DONE));
    t.matchSnapshot(checkPieces(several + buildUsage(3) + DONE, Object.values(EventField)));
    t.end();
});

t.test("the end marker of a stream that lacks or repeats tokens is not passed on", t => {
    t.matchSnapshot([4, 2].map(tokens => checkPieces(several + buildUsage(tokens) + DONE)));
    t.end();
});

t.test("text that looks like token ids is not counted or removed", t => {
    const text = JSON.stringify({ content: 'say "token_ids":[1,2]' });
    t.matchSnapshot(checkPieces(buildEvent(`"delta":${text},"token_ids":[5]`) + buildUsage(1) + DONE));
    t.end();
});

t.test(
    "a stream with an event of another answer can't be continued, as events of its own may have gone elsewhere",
    t => {
        const other = '"delta":{"content":"c"},"token_ids":[10]';
        const foreign = buildEvent(other).replace('"id":"c1"', '"id":"c2"');
        const results = checkPieces(several + foreign + buildUsage(3) + DONE) as {
            fault?: { isInconsistent: boolean };
        }[];
        t.strictSame(
            results.map(({ fault }) => fault?.isInconsistent),
            [true],
        );
        t.end();
    },
);
