import type { AnswerSink } from "./AnswerSink.js";
import { type AttemptChannel, ChannelEnd } from "./AttemptChannel.js";

/**
 * Relays a channel into a sink.
 * @param channel - Answer of an agent.
 * @param sink - Receiver.
 * @param signal - Cancels the channel when the caller hangs up.
 * @returns True if the whole answer was relayed.
 */
export function relayAnswer(channel: AttemptChannel, sink: AnswerSink, signal: AbortSignal): Promise<boolean> {
    return new Promise(resolve => {
        signal.addEventListener("abort", abandon, { once: true });
        if (signal.aborted) {
            abandon();
            return;
        }
        sink.takeHead(channel.head);
        sink.onDrain(() => channel.resume());
        channel.readInto({
            onChunk: chunk => sink.takeChunk(chunk),
            onEnd(end) {
                signal.removeEventListener("abort", abandon);
                const isWhole = end === ChannelEnd.Whole;
                if (isWhole) {
                    sink.finish();
                }
                resolve(isWhole);
            },
        });

        function abandon(): void {
            channel.cancel();
            resolve(false);
        }
    });
}
