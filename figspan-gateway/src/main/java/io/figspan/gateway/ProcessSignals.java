package io.figspan.gateway;

import io.figspan.gateway.log.LogSetup;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Handles the signals of a gateway process from the first instruction of {@code main} on, also while it starts. SIGHUP
 * requests a reload of the configuration, and never ends the process. SIGTERM begins a graceful shutdown; during the
 * start it waits until the process can answer the callers whose connections the open port has taken.
 */
public final class ProcessSignals {
    /** Longest wait for the start after SIGTERM; the platform kills the process at the end of its grace period. */
    private static final long MAX_START_MS = 5_000;

    /** Time before the kill that is left for writing the log. */
    private static final long MAX_LOG_MS = 200;

    /** The log takes no more than this fraction of the grace period. */
    private static final int MIN_GRACE_PER_LOG = 24;

    private final ReloadRequests reloads = new ReloadRequests();

    /** Completes with the process, or with nothing if the start has failed. */
    private final CompletableFuture<Optional<GatewayProcess>> startup = new CompletableFuture<>();

    private ProcessSignals() {}

    /**
     * Installs the handlers; to be called before anything else.
     *
     * @throws ReflectiveOperationException if this Java runtime lacks the signal class
     */
    public static ProcessSignals handle() throws ReflectiveOperationException {
        ProcessSignals signals = new ProcessSignals();
        HangupSignal.handle(signals.reloads::request);
        Runtime.getRuntime().addShutdownHook(new Thread(signals::stopAndWait, "shutdown"));
        return signals;
    }

    /** The process has started; the signals that came before have their effect now. */
    public void started(GatewayProcess process) {
        reloads.attach(process::reload);
        startup.complete(Optional.of(process));
    }

    /** The start has failed, so that there is nothing to stop. */
    public void startFailed() {
        startup.complete(Optional.empty());
    }

    private void stopAndWait() {
        long signalNanos = System.nanoTime();
        try {
            Optional<GatewayProcess> process = startup.get(MAX_START_MS, TimeUnit.MILLISECONDS);
            if (process.isPresent()) {
                stopAndWait(process.get(), signalNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("figspand: stopped before it had started: " + e);
        }
    }

    /** The log is written before the kill, also when the event loop doesn't end the stop or the log is not read. */
    private static void stopAndWait(GatewayProcess process, long signalNanos) throws InterruptedException {
        CountDownLatch done = process.stop(signalNanos);
        long graceMs = process.shutdownGraceMs();
        long logMs = Math.min(MAX_LOG_MS, graceMs / MIN_GRACE_PER_LOG);
        boolean stopped = done.await(graceMs - logMs - elapsedMs(signalNanos), TimeUnit.MILLISECONDS);
        LogSetup.flush(Math.max(logMs, graceMs - elapsedMs(signalNanos) - logMs));
        if (!stopped) {
            System.err.println("figspand: shutdown did not complete within " + graceMs + " ms");
        }
    }

    private static long elapsedMs(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }
}
