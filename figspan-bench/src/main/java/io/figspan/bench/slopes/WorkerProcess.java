package io.figspan.bench.slopes;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process that runs a {@link NodeWorker}. */
final class WorkerProcess implements AutoCloseable {
    private static final int CLOSE_SECONDS = 20;

    private final Process process;
    private final BufferedWriter commands;
    private final BufferedReader answers;

    WorkerProcess(List<String> arguments) {
        try {
            process = new ProcessBuilder(arguments)
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        commands = new BufferedWriter(new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8));
        answers = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    void send(String command) {
        try {
            commands.write(command);
            commands.newLine();
            commands.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String receive() {
        try {
            String answer = answers.readLine();
            if (answer == null) {
                throw new IllegalStateException("a worker has ended");
            }
            return answer;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String ask(String command) {
        send(command);
        return receive();
    }

    /** Ends the worker; one that does not end in time is destroyed. */
    @Override
    public void close() {
        try {
            send("quit");
            if (!process.waitFor(CLOSE_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (UncheckedIOException e) {
            process.destroyForcibly();
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
