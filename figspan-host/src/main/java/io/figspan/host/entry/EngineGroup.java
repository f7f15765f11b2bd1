package io.figspan.host.entry;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.event.Part;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.RequestId;
import io.figspan.core.time.Deadline;
import io.figspan.host.HostContext;
import io.figspan.host.backend.BackendTable;
import io.figspan.host.backend.EngineMessages;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Engines of one availability zone that hold the KV cache of one long prompt, a segment each. Memory is taken in
 * ascending order of engine ids, all or nothing; each engine imports the cache of the segments before its own.
 */
final class EngineGroup {
    /** Share of an engine's memory that one segment may take. */
    private static final double MAX_SEGMENT_SHARE = 0.95;

    /** A member of the group with its hold and the text that it prefills. */
    record Member(BackendTable.Server server, HoldHandle hold, String text, long tokens) {}

    private final HostContext context;
    private final RequestId request;
    private final List<Member> members = new ArrayList<>();

    EngineGroup(HostContext context, RequestId request) {
        this.context = context;
        this.request = request;
    }

    /** The member that generates the answer. */
    Member last() {
        return members.get(members.size() - 1);
    }

    List<Member> members() {
        return members;
    }

    /** Number of engines of the given memory that a prompt needs. */
    static int sizeFor(long kvTokens, long capacityTokens) {
        long perEngine = (long) (capacityTokens * MAX_SEGMENT_SHARE);
        return (int) ((kvTokens + perEngine - 1) / perEngine);
    }

    /** Takes memory on each engine of the group; on failure everything that was taken is returned. */
    Future<Void> reserve(CompletionRequest prompt, Deadline deadline, long graceMs) {
        long kvTokens = prompt.promptTokens() + (long) prompt.outputTokens();
        List<BackendTable.Server> chosen = choose(kvTokens);
        if (chosen.isEmpty()) {
            return Future.failedFuture(noMemory());
        }
        int charsPerSegment = segmentChars(prompt, chosen.size());
        Future<Void> taken = Future.succeededFuture();
        for (int i = 0; i < chosen.size(); i++) {
            int start = Math.min(prompt.prompt().length(), i * charsPerSegment);
            int end = Math.min(prompt.prompt().length(), start + charsPerSegment);
            boolean isLast = i == chosen.size() - 1;
            String text =
                    prompt.prompt().substring(start, isLast ? prompt.prompt().length() : end);
            long textTokens = CompletionRequest.tokensOf(text);
            long tokens = textTokens + (isLast ? prompt.outputTokens() : 0);
            Member member = new Member(chosen.get(i), context.newHold(), text, tokens);
            taken = taken.compose(nothing -> take(member, deadline, graceMs));
        }
        return taken.onFailure(cause -> release());
    }

    /** Prefills all segments but the last, and imports their cache into the last member's hold. */
    Future<Void> prefill(int priority, Deadline deadline) {
        Future<Void> done = Future.succeededFuture();
        for (int i = 0; i + 1 < members.size(); i++) {
            Member member = members.get(i);
            Member next = members.get(i + 1);
            EngineMessages.Segment segment = new EngineMessages.Segment(member.text(), priority);
            done = done.compose(nothing -> context.engines()
                            .prefillSegment(
                                    member.server(),
                                    member.hold(),
                                    segment,
                                    Math.max(1, deadline.leftMs(context.nowNanos()))))
                    .compose(nothing -> context.engines().exportKv(member.server(), member.hold()))
                    .compose(blob -> context.engines().importKv(next.server(), next.hold(), blob))
                    .onSuccess(nothing -> context.timeline()
                            .add(
                                    Part.HOLD,
                                    "segment",
                                    request.value(),
                                    member.server().id() + " to "
                                            + next.server().id()));
        }
        return done;
    }

    /** Returns all memory that was taken. Idempotent. A release that fails is left to the hold's expiry. */
    void release() {
        for (Member member : members) {
            context.engines().releaseHold(member.server(), member.hold());
            context.timeline()
                    .add(Part.HOLD, "released", request.value(), member.server().id() + " " + member.hold());
        }
        members.clear();
    }

    private Future<Void> take(Member member, Deadline deadline, long graceMs) {
        long expiresInMs = deadline.leftMs(context.nowNanos()) + graceMs;
        // The member is listed before the answer arrives, so that a hold whose answer is lost is released too.
        members.add(member);
        return context.engines()
                .takeHold(member.server(), member.hold(), member.tokens(), expiresInMs)
                .onSuccess(nothing -> context.timeline()
                        .add(
                                Part.HOLD,
                                "taken",
                                request.value(),
                                member.server().id() + " " + member.hold() + " " + member.tokens()));
    }

    private List<BackendTable.Server> choose(long kvTokens) {
        Map<String, List<BackendTable.Server>> byZone = new TreeMap<>();
        for (BackendTable.Server server : context.backends().engines()) {
            if (server.takesNewWork() && server.capacityTokens() > 0) {
                byZone.computeIfAbsent(server.listed().availabilityZone().value(), zone -> new ArrayList<>())
                        .add(server);
            }
        }
        List<BackendTable.Server> best = List.of();
        long bestFree = -1;
        for (List<BackendTable.Server> zone : byZone.values()) {
            long capacity = zone.stream()
                    .mapToLong(BackendTable.Server::capacityTokens)
                    .min()
                    .orElse(1);
            int size = sizeFor(kvTokens, capacity);
            if (zone.size() < size) {
                continue;
            }
            zone.sort(Comparator.comparingLong(this::freeTokens).reversed());
            List<BackendTable.Server> group = new ArrayList<>(zone.subList(0, size));
            long free = group.stream().mapToLong(this::freeTokens).min().orElse(0);
            if (free > bestFree) {
                bestFree = free;
                group.sort(Comparator.comparing(BackendTable.Server::id));
                best = group;
            }
        }
        return best;
    }

    private long freeTokens(BackendTable.Server server) {
        return context.backends().loads().get(server.id()).kvFreeTokens();
    }

    private static int segmentChars(CompletionRequest prompt, int segments) {
        int tokensPerSegment = (prompt.promptTokens() + segments - 1) / segments;
        return tokensPerSegment * CompletionRequest.CHARS_PER_TOKEN;
    }

    private static FigspanException noMemory() {
        return new FigspanException(
                ProblemKind.NO_BACKEND_SERVER,
                "no availability zone has enough engines for the prompt",
                Location.of("engine group"));
    }
}
