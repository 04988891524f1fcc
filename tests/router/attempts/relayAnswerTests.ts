import t from "tap";
import { AnswerSink } from "../../../src/router/attempts/AnswerSink.js";
import { type AttemptChannel, ChannelEnd, type ChannelSink } from "../../../src/router/attempts/AttemptChannel.js";
import { relayAnswer } from "../../../src/router/attempts/relayAnswer.js";

type Step = "writeHead" | "writeChunk" | "finish";

/** Creates a sink that throws in one of its steps. */
function createThrowingSink(step: Step): AnswerSink {
    const run = (current: Step): void => {
        if (current === step) {
            throw new Error(`cannot ${step}`);
        }
    };
    return new (class ThrowingSink extends AnswerSink {
        override writeHead(): void {
            run("writeHead");
        }

        override writeChunk(): boolean {
            run("writeChunk");
            return true;
        }

        override finish(): void {
            run("finish");
        }

        override getReceivedBytes(): number {
            return 0;
        }

        override onDrain(): void {
            return;
        }
    })();
}

for (const step of ["writeHead", "writeChunk", "finish"] as const) {
    t.test(`an answer whose ${step} throws is not left pending, and its channel is closed`, async t => {
        let receiver: ChannelSink | undefined;
        let isCancelled = false;
        const channel: AttemptChannel = {
            head: { status: 200, headers: {} },
            queueMs: 0,
            getReceivedBytes: () => 0,
            readInto: sink => (receiver = sink),
            resume: () => undefined,
            cancel: () => (isCancelled = true),
        };
        const relayed = relayAnswer(channel, createThrowingSink(step), new AbortController().signal);
        receiver?.onChunk(Buffer.from("a"));
        receiver?.onEnd(ChannelEnd.Complete);
        await t.rejects(relayed, new RegExp(`cannot ${step}`));
        t.ok(isCancelled);
    });
}
