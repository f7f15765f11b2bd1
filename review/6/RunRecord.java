import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** The record of a run: one line for each thing that was sent, answered or run, with the time since the start. */
final class RunRecord implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintStream out;

    RunRecord(Path folder) throws IOException {
        out = new PrintStream(folder.resolve("record.txt").toFile(), StandardCharsets.UTF_8);
    }

    synchronized void line(String text) {
        out.printf("%7d ms  %s%n", (System.nanoTime() - startNanos) / 1_000_000, text);
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
