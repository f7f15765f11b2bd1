package io.figspan.gateway.forward;

import io.figspan.gateway.backend.MemoryHolds;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The open attempts of one request: the current one, and the silent ones that stay open while the request is sent to
 * another server (a hedged request). The holds of an attempt are released when it leaves this set.
 */
final class OpenAttempts {
    private final MemoryHolds holds;
    private final PlacementHandler placements;
    private final CallStateMachine state;
    private final CallLog log;
    private final Runnable onEmpty;
    private final List<Attempt> silent = new ArrayList<>();
    private Optional<Attempt> current = Optional.empty();

    /**
     * Creates the set, which is empty.
     *
     * @param onEmpty is called when the last attempt has left the set
     */
    OpenAttempts(
            MemoryHolds holds, PlacementHandler placements, CallStateMachine state, CallLog log, Runnable onEmpty) {
        this.holds = holds;
        this.placements = placements;
        this.state = state;
        this.log = log;
        this.onEmpty = onEmpty;
    }

    /** The attempt at the server of the latest placement; empty while there is none. */
    Optional<Attempt> current() {
        return current;
    }

    boolean isEmpty() {
        return current.isEmpty() && silent.isEmpty();
    }

    /** Whether a server may have received the request. */
    boolean isWritten() {
        return all().stream().anyMatch(Attempt::isWritten);
    }

    boolean contains(Attempt attempt) {
        return isCurrent(attempt) || isSilent(attempt);
    }

    private boolean isCurrent(Attempt attempt) {
        return current.filter(attempt::equals).isPresent();
    }

    /** Whether the request was sent on, or is queued for that, while this attempt stays open. */
    boolean isSilent(Attempt attempt) {
        return silent.contains(attempt);
    }

    boolean hasSilent() {
        return !silent.isEmpty();
    }

    void setCurrent(Attempt attempt) {
        current = Optional.of(attempt);
    }

    /** Keeps the current attempt open as a silent one, so that the request can be sent to a second server too. */
    void keepSilent(long forwardedEvents) {
        Attempt attempt = current.orElseThrow();
        silent.add(attempt);
        current = Optional.empty();
        log.serverSilent(attempt.server(), attempt.sentNanos(), forwardedEvents);
    }

    /** Handles a part of the response: the attempt that delivers first goes on alone, and all others are cancelled. */
    void delivered(Attempt first) {
        if (silent.isEmpty()) {
            return;
        }
        boolean wasSilent = isSilent(first);
        List<Attempt> others = all();
        others.remove(first);
        others.forEach(this::cancel);
        silent.clear();
        current = Optional.of(first);
        log.hedgeDecided(first.server(), others.stream().map(Attempt::server).toList());
        if (wasSilent) {
            long nowNanos = System.nanoTime();
            placements.cancel(nowNanos);
            placements.resume(first.server(), nowNanos);
            state.transition(CallEvent.FELL_BACK);
        }
    }

    /** Goes on with the earliest of the silent attempts, since no other server can get the request. */
    void fallBack(String reason) {
        Attempt earliest = silent.remove(0);
        current = Optional.of(earliest);
        log.hedgeFailed(earliest.server(), reason);
        placements.resume(earliest.server(), System.nanoTime());
        state.transition(CallEvent.FELL_BACK);
    }

    void cancelAll() {
        all().forEach(this::cancel);
    }

    private void cancel(Attempt attempt) {
        attempt.cancel();
        remove(attempt);
    }

    /** Removes an attempt that has ended. */
    void remove(Attempt ended) {
        if (isCurrent(ended)) {
            current = Optional.empty();
        }
        silent.remove(ended);
        holds.release(ended.holds());
        if (isEmpty()) {
            onEmpty.run();
        }
    }

    void setReading(boolean reading) {
        all().forEach(attempt -> attempt.setReading(reading));
    }

    private List<Attempt> all() {
        List<Attempt> all = new ArrayList<>(silent);
        current.ifPresent(all::add);
        return all;
    }
}
