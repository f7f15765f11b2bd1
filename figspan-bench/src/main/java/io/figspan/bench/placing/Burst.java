package io.figspan.bench.placing;

/** A time in which one kind of request comes {@code factor} times as often. */
record Burst(String requestClass, double fromMs, double toMs, double factor) {
    boolean isActive(String name, double atMs) {
        return name.equals(requestClass) && atMs >= fromMs && atMs < toMs;
    }
}
