/**
 * Builds a list of a given length.
 * @param length - Number of elements.
 * @param build - Builds the element at an index.
 */
export function buildList<T>(length: number, build: (index: number) => T): T[] {
    const list: T[] = [];
    for (let index = 0; index < length; index++) {
        list.push(build(index));
    }
    return list;
}
