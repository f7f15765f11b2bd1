package io.figspan.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, each line with the milliseconds since the start. Thread-safe. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    long elapsedMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Waits for a time of the record. */
    void sleepUntil(long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - elapsedMs()));
    }

    synchronized void line(String format, Object... arguments) {
        String text = "%7d %s".formatted(elapsedMs(), format.formatted(arguments));
        out.println(text);
        out.flush();
    }

    /** Writes a line to the console too. */
    void say(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(format.formatted(arguments));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
