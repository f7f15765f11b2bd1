package io.figspan.gateway;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Requests to reload the configuration, which may come before there is anything to reload: those are remembered, and
 * one reload follows as soon as it is possible. Thread-safe, takes no lock and doesn't block.
 */
final class ReloadRequests {
    private final AtomicBoolean isPending = new AtomicBoolean();
    private final AtomicReference<Runnable> reload = new AtomicReference<>();

    /** Requests a reload, now or once {@link #attach} is called. */
    void request() {
        isPending.set(true);
        runPending();
    }

    /** Sets what a request does from now on, and does it if there was one before. */
    void attach(Runnable newReload) {
        reload.set(newReload);
        runPending();
    }

    /** Whichever of the two callers sees both the request and the action runs it. */
    private void runPending() {
        Runnable attached = reload.get();
        if (attached != null && isPending.getAndSet(false)) {
            attached.run();
        }
    }
}
