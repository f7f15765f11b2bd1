package io.figspan.bench.slopes;

/** Reads the heap in use. */
final class HeapMeter {
    private static final int COLLECTIONS = 3;

    private HeapMeter() {}

    /** Heap in use after collections; differences of it over hundreds of equal objects give the size of one. */
    static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < COLLECTIONS; i++) {
            runtime.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
