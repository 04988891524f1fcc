/** Events of a simulation in order of time. */
export interface EventQueue {
    schedule(time: number, run: () => void): void;
    /** Runs the events up to a time. */
    runUntil(time: number): void;
    getNow(): number;
}

interface SimulationEvent {
    time: number;
    order: number;
    run: () => void;
}

/** Creates an empty queue, as a binary heap. */
export function createEventQueue(): EventQueue {
    const heap: SimulationEvent[] = [];
    let now = 0;
    let order = 0;
    return {
        schedule(time, run) {
            order++;
            heap.push({ time: Math.max(time, now), order, run });
            moveUp(heap.length - 1);
        },
        runUntil,
        getNow: () => now,
    };

    function runUntil(time: number): void {
        for (let next = heap[0]; next !== undefined && next.time <= time; next = heap[0]) {
            removeFirst();
            now = next.time;
            next.run();
        }
        now = time;
    }

    function removeFirst(): void {
        const last = heap.pop();
        if (last !== undefined && heap.length > 0) {
            heap[0] = last;
            moveDown();
        }
    }

    function moveUp(start: number): void {
        let place = start;
        while (place > 0) {
            const parent = (place - 1) >> 1;
            if (!isBefore(place, parent)) {
                return;
            }
            swap(place, parent);
            place = parent;
        }
    }

    function moveDown(): void {
        let place = 0;
        for (;;) {
            const left = place * 2 + 1;
            const right = left + 1;
            let least = place;
            if (left < heap.length && isBefore(left, least)) {
                least = left;
            }
            if (right < heap.length && isBefore(right, least)) {
                least = right;
            }
            if (least === place) {
                return;
            }
            swap(place, least);
            place = least;
        }
    }

    function isBefore(left: number, right: number): boolean {
        const one = heap[left] as SimulationEvent;
        const other = heap[right] as SimulationEvent;
        return one.time < other.time || (one.time === other.time && one.order < other.order);
    }

    function swap(left: number, right: number): void {
        const kept = heap[left] as SimulationEvent;
        heap[left] = heap[right] as SimulationEvent;
        heap[right] = kept;
    }
}
