package io.figspan.control.hold;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.time.Deadline;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * One attempt to reserve memory on every engine of a group, for a prompt that does not fit on one engine. The reserve
 * calls are sent one at a time in ascending id order, so that groups that share engines cannot deadlock. If one fails
 * or times out, all holds are released, including one whose reserve call was not answered.
 */
public final class GroupReservation {
    /** State of the attempt. */
    public enum Status {
        RESERVING,
        ACQUIRED,
        FAILED
    }

    private final HoldLedger ledger;
    private final List<GroupMember> members;
    private final Deadline deadline;
    private final long reserveTimeoutMs;
    private final List<HoldHandle> handles = new ArrayList<>();
    private Status status = Status.RESERVING;
    private Deadline reserveDeadline;
    private Problem problem;

    public GroupReservation(HoldLedger ledger, List<GroupMember> members, Deadline deadline, long reserveTimeoutMs) {
        this.ledger = ledger;
        this.members = members.stream()
                .sorted(Comparator.comparing(member -> member.engine().server()))
                .toList();
        this.deadline = deadline;
        this.reserveTimeoutMs = reserveTimeoutMs;
        requireDistinctEnginesOfOneZone(this.members);
    }

    /** Starts the attempt with the first reserve call. */
    public List<HoldAction> start(long nowNanos) {
        return reserveNext(nowNanos);
    }

    /** Handles the confirmation of a hold; returns the next reserve call, or a release if the attempt has failed. */
    public List<HoldAction> onReserved(HoldHandle handle, long nowNanos) {
        List<HoldAction> actions = new ArrayList<>(ledger.onReserved(handle, nowNanos));
        if (status != Status.RESERVING || !isCurrent(handle)) {
            return actions;
        }
        if (reserveDeadline.hasPassed(nowNanos)) {
            actions.addAll(fail(ProblemKind.OVERLOADED, "an engine of the group answered too late", nowNanos));
            return actions;
        }
        if (handles.size() == members.size()) {
            status = Status.ACQUIRED;
            return actions;
        }
        actions.addAll(reserveNext(nowNanos));
        return actions;
    }

    /** Handles the refusal of a reserve call; the engine reserved nothing. */
    public List<HoldAction> onRefused(HoldHandle handle, long nowNanos) {
        ledger.onRefused(handle);
        if (status != Status.RESERVING || !isCurrent(handle)) {
            return List.of();
        }
        return fail(ProblemKind.OVERLOADED, "an engine of the group has too little memory", nowNanos);
    }

    /** Fails the attempt if the current reserve call has timed out. */
    public List<HoldAction> onTick(long nowNanos) {
        if (status != Status.RESERVING || reserveDeadline == null || !reserveDeadline.hasPassed(nowNanos)) {
            return List.of();
        }
        return fail(ProblemKind.OVERLOADED, "an engine of the group did not answer in time", nowNanos);
    }

    /** Releases all holds, because the request ended, its caller disconnected or an engine failed. Idempotent. */
    public List<HoldAction> release(long nowNanos) {
        if (status == Status.RESERVING) {
            return fail(ProblemKind.INTERNAL, "the reservation was given up", nowNanos);
        }
        status = Status.FAILED;
        return releaseAll(nowNanos);
    }

    public Status status() {
        return status;
    }

    /** Handles of the reserve calls sent so far, in ascending order of the engine ids. */
    public List<HoldHandle> handles() {
        return List.copyOf(handles);
    }

    /** Reason for which the attempt failed. */
    public Optional<Problem> problem() {
        return Optional.ofNullable(problem);
    }

    private List<HoldAction> reserveNext(long nowNanos) {
        if (deadline.hasPassed(nowNanos)) {
            return fail(ProblemKind.DEADLINE_PASSED, "the deadline passed before the group was complete", nowNanos);
        }
        GroupMember next = members.get(handles.size());
        Result<HoldAction.Reserve> reserve = ledger.reserve(next.engine(), next.tokens(), deadline, nowNanos);
        if (reserve instanceof Result.Failed<HoldAction.Reserve> failed) {
            return fail(failed.problem().kind(), failed.problem().detail(), nowNanos);
        }
        HoldAction.Reserve action = ((Result.Ok<HoldAction.Reserve>) reserve).value();
        handles.add(action.handle());
        Deadline timeout = Deadline.after(nowNanos, reserveTimeoutMs);
        reserveDeadline = timeout.atNanos() - deadline.atNanos() < 0 ? timeout : deadline;
        return List.of(action);
    }

    private boolean isCurrent(HoldHandle handle) {
        return !handles.isEmpty() && handles.get(handles.size() - 1).equals(handle);
    }

    private List<HoldAction> fail(ProblemKind kind, String detail, long nowNanos) {
        status = Status.FAILED;
        problem = Problem.notRun(kind, detail);
        return releaseAll(nowNanos);
    }

    private List<HoldAction> releaseAll(long nowNanos) {
        List<HoldAction> actions = new ArrayList<>();
        for (HoldHandle handle : handles) {
            actions.addAll(ledger.release(handle, nowNanos));
        }
        return actions;
    }

    private static void requireDistinctEnginesOfOneZone(List<GroupMember> members) {
        long zones =
                members.stream().map(GroupMember::availabilityZone).distinct().count();
        long engines = members.stream()
                .map(member -> member.engine().server())
                .distinct()
                .count();
        if (zones != 1 || engines != members.size()) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE,
                    "a group must consist of distinct engines of one availability zone",
                    Location.of("engine group"));
        }
    }
}
