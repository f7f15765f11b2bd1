package io.figspan.control.hold;

import io.figspan.core.chart.StateChart;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.time.Deadline;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the holds on engine memory that this process owns. An entry is added before its reserve call is sent, and
 * removed once the engine has refused the call or confirmed the release, the engine process has ended or the hold has
 * expired. Not thread-safe.
 */
public final class HoldLedger {
    /** Upper limit of the factor by which the retry delay of an unconfirmed release grows. */
    private static final int MAX_BACKOFF_FACTOR = 8;

    private static final long FULL_RETRY_AFTER_MS = 1_000;

    private static final StateChart<HoldState, HoldEvent> CHART =
            StateChart.load("/charts/engine-hold.toml", HoldState.class, HoldEvent.class);

    private final HostIncarnation self;
    private final HoldLedgerConfig config;
    private final Map<HoldHandle, Entry> entries = new HashMap<>();
    private long nextSequence;

    public HoldLedger(HostIncarnation self, HoldLedgerConfig config) {
        this.self = self;
        this.config = config;
    }

    /** Creates a hold that expires a grace period after the request's deadline, and returns its reserve call. */
    public Result<HoldAction.Reserve> reserve(
            BackendIncarnation engine, long tokens, Deadline requestDeadline, long nowNanos) {
        if (entries.size() >= config.capacityHolds()) {
            return Result.failed(Problem.notRun(ProblemKind.OVERLOADED, "the hold ledger of this host is full")
                    .withRetryAfterMs(FULL_RETRY_AFTER_MS));
        }
        HoldHandle handle = new HoldHandle(self, nextSequence);
        nextSequence++;
        long expiryNanos = requestDeadline.atNanos() + TimeUnit.MILLISECONDS.toNanos(config.graceMs());
        Entry entry = new Entry(engine, tokens, expiryNanos);
        entries.put(handle, entry);
        return Result.ok(buildReserveCall(handle, entry, nowNanos));
    }

    private HoldAction.Reserve buildReserveCall(HoldHandle handle, Entry entry, long nowNanos) {
        long timeLeftMs = new Deadline(entry.expiryNanos).leftMs(nowNanos);
        if (config.hasLeases()) {
            timeLeftMs = Math.min(timeLeftMs, config.leaseMs());
            entry.nextRenewalNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(config.renewAfterMs());
        }
        return new HoldAction.Reserve(entry.engine, handle, entry.tokens, timeLeftMs);
    }

    /** Handles an engine's confirmation of a hold; returns a release call if the hold is no longer needed. */
    public List<HoldAction> onReserved(HoldHandle handle, long nowNanos) {
        transition(handle, HoldEvent.RESERVED);
        return sendReleaseIfReleasing(handle, nowNanos);
    }

    /** Handles the refusal of a reserve call; the engine reserved nothing. */
    public void onRefused(HoldHandle handle) {
        transition(handle, HoldEvent.REFUSED);
    }

    /** Renews a hold again soon, because the engine has rejected a renewal although it still holds the memory. */
    public void retryRenewal(HoldHandle handle, long nowNanos) {
        Entry entry = entries.get(handle);
        if (entry != null) {
            entry.nextRenewalNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(config.renewalRetryMs());
        }
    }

    /** Releases a hold in any state, even if its reserve call is unanswered. Idempotent. */
    public List<HoldAction> release(HoldHandle handle, long nowNanos) {
        transition(handle, HoldEvent.RELEASE);
        return sendReleaseIfReleasing(handle, nowNanos);
    }

    /** Handles the answer to a release call. */
    public void onReleaseAnswered(HoldHandle handle, boolean wasHeld) {
        transition(handle, wasHeld ? HoldEvent.RELEASE_CONFIRMED : HoldEvent.NOTHING_HELD);
    }

    /** Removes the holds of an engine process that has ended. */
    public void onEngineGone(BackendIncarnation engine) {
        for (HoldHandle handle : List.copyOf(entries.keySet())) {
            if (entries.get(handle).engine.equals(engine)) {
                transition(handle, HoldEvent.ENGINE_GONE);
            }
        }
    }

    /** Renews leases, retries unconfirmed releases and removes expired holds. */
    public List<HoldAction> onTick(long nowNanos) {
        List<HoldAction> actions = new ArrayList<>();
        for (HoldHandle handle : List.copyOf(entries.keySet())) {
            Entry entry = entries.get(handle);
            if (nowNanos - entry.expiryNanos >= 0) {
                // Released once more: a reserve call that arrived late may expire later on the engine than here.
                actions.add(new HoldAction.Release(entry.engine, handle));
                transition(handle, HoldEvent.EXPIRED);
            } else if (entry.isReleasing() && nowNanos - entry.nextReleaseNanos >= 0) {
                actions.addAll(sendReleaseIfReleasing(handle, nowNanos));
            } else if (isRenewalDue(entry, nowNanos)) {
                actions.add(buildReserveCall(handle, entry, nowNanos));
            }
        }
        return actions;
    }

    /**
     * Returns releases for the orphaned holds among those that an engine reports: expired holds of any owner, holds of
     * a host process that a newer one with the same host id has replaced, and own holds that are not in this ledger.
     *
     * @param newest newest known process of each host
     */
    public List<HoldAction> sweep(
            BackendIncarnation engine, List<ListedHold> listed, Map<HostId, HostIncarnation> newest) {
        List<HoldAction> actions = new ArrayList<>();
        for (ListedHold hold : listed) {
            if (hold.isExpired() || isReplaced(hold.handle().owner(), newest) || isOwnButUnknown(hold.handle())) {
                actions.add(new HoldAction.Release(engine, hold.handle()));
            }
        }
        return actions;
    }

    public Optional<HoldState> state(HoldHandle handle) {
        return Optional.ofNullable(entries.get(handle)).map(entry -> entry.state);
    }

    public int size() {
        return entries.size();
    }

    private boolean isRenewalDue(Entry entry, long nowNanos) {
        return config.hasLeases() && entry.state == HoldState.HELD && nowNanos - entry.nextRenewalNanos >= 0;
    }

    private boolean isReplaced(HostIncarnation owner, Map<HostId, HostIncarnation> newest) {
        HostIncarnation known = newest.get(owner.host());
        return self.supersedes(owner) || (known != null && known.supersedes(owner));
    }

    private boolean isOwnButUnknown(HoldHandle handle) {
        return handle.owner().equals(self) && !entries.containsKey(handle);
    }

    private List<HoldAction> sendReleaseIfReleasing(HoldHandle handle, long nowNanos) {
        Entry entry = entries.get(handle);
        if (entry == null || !entry.isReleasing()) {
            return List.of();
        }
        entry.backoffFactor = Math.min(MAX_BACKOFF_FACTOR, Math.max(1, entry.backoffFactor * 2));
        entry.nextReleaseNanos =
                nowNanos + TimeUnit.MILLISECONDS.toNanos(config.releaseRetryMs() * entry.backoffFactor);
        return List.of(new HoldAction.Release(entry.engine, handle));
    }

    private void transition(HoldHandle handle, HoldEvent event) {
        Entry entry = entries.get(handle);
        if (entry == null) {
            return;
        }
        if (CHART.next(entry.state, event) instanceof Result.Ok<HoldState> next) {
            entry.state = next.value();
        }
        if (entry.state == HoldState.RELEASED) {
            entries.remove(handle);
        }
    }

    private static final class Entry {
        private final BackendIncarnation engine;
        private final long tokens;
        private final long expiryNanos;
        private HoldState state = CHART.initial();
        private int backoffFactor;
        private long nextReleaseNanos;
        private long nextRenewalNanos;

        Entry(BackendIncarnation engine, long tokens, long expiryNanos) {
            this.engine = engine;
            this.tokens = tokens;
            this.expiryNanos = expiryNanos;
        }

        boolean isReleasing() {
            return state == HoldState.RELEASING || state == HoldState.RELEASING_UNANSWERED;
        }
    }
}
