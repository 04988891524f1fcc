/** Settles a promise from event listeners; the first result counts. */
export interface Settlement<T> {
    resolve(value: T): void;
    reject(error: unknown): void;
    /** Wraps a listener, so that an exception in it rejects the promise. Once the promise is settled, exceptions are thrown on. */
    guard<A extends unknown[]>(listener: (...args: A) => void): (...args: A) => void;
}

/**
 * Creates a promise that event listeners settle. An exception in a listener reaches nobody who waits for the promise, so the
 * listeners are wrapped with `guard`.
 * @param listen - Registers the listeners.
 */
export function settleFromEvents<T>(listen: (settlement: Settlement<T>) => void): Promise<T> {
    return new Promise((resolve, reject) => {
        let isSettled = false;
        listen({
            resolve(value) {
                isSettled = true;
                resolve(value);
            },
            reject: fail,
            guard:
                listener =>
                (...args) => {
                    try {
                        listener(...args);
                    } catch (error) {
                        if (isSettled) {
                            throw error;
                        }
                        fail(error);
                    }
                },
        });

        function fail(error: unknown): void {
            isSettled = true;
            reject(error instanceof Error ? error : new Error(String(error)));
        }
    });
}
