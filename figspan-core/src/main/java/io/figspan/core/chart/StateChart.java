package io.figspan.core.chart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.error.RunState;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The transition table of a finite state machine, loaded from a TOML file. Loading validates that every state is
 * reachable from the initial state and that every state defines the effect of every event.
 *
 * <p>The file has {@code initial = "STATE"} and for each state a table {@code [states.NAME]} with optional
 * {@code final = true}, {@code on = { EVENT = "STATE" }}, {@code ignore = ["EVENT"]} and {@code reject = ["EVENT"]}.
 * A rejected event fails with {@link ProblemKind#UNEXPECTED_EVENT} and is counted. A final state ignores every event
 * that it does not list.
 *
 * <p>A chart does not hold a current state, so any number of state machines can share it. It is thread-safe.
 *
 * @param <S> enum of the states
 * @param <E> enum of the events
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>> {
    private final String name;
    private final Class<S> stateType;
    private final Class<E> eventType;
    private final S initial;
    private final Map<S, Map<E, S>> transitions;
    private final Map<S, Set<E>> rejectedEventsByState;
    private final Set<S> finalStates;
    private final AtomicLong unexpectedEventCount = new AtomicLong();

    private StateChart(String name, Class<S> stateType, Class<E> eventType, JsonNode root) {
        this.name = name;
        this.stateType = stateType;
        this.eventType = eventType;
        this.initial = parseConstant(stateType, root.path("initial").asText());
        this.transitions = new EnumMap<>(stateType);
        this.rejectedEventsByState = new EnumMap<>(stateType);
        this.finalStates = EnumSet.noneOf(stateType);
        root.path("states")
                .fieldNames()
                .forEachRemaining(key -> readState(key, root.path("states").path(key)));
        checkComplete();
        checkReachable();
    }

    /**
     * Loads and validates a chart from a class path resource such as {@code /charts/ticket.toml}.
     *
     * @throws FigspanException with {@link ProblemKind#CHART_INVALID} if the chart is missing or invalid
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String resource, Class<S> stateType, Class<E> eventType) {
        try (InputStream in = stateType.getResourceAsStream(resource)) {
            if (in == null) {
                throw new FigspanException(
                        ProblemKind.CHART_INVALID, "chart file not found on the class path", Location.of(resource));
            }
            return new StateChart<>(resource, stateType, eventType, new TomlMapper().readTree(in));
        } catch (IOException e) {
            throw new FigspanException(ProblemKind.CHART_INVALID, e.getMessage(), Location.of(resource), e);
        }
    }

    /**
     * Parses and validates a chart.
     *
     * @param name source named in error messages
     * @throws FigspanException with {@link ProblemKind#CHART_INVALID} if the chart is invalid
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> parse(
            String name, String toml, Class<S> stateType, Class<E> eventType) {
        try {
            return new StateChart<>(name, stateType, eventType, new TomlMapper().readTree(toml));
        } catch (IOException e) {
            throw new FigspanException(ProblemKind.CHART_INVALID, e.getMessage(), Location.of(name), e);
        }
    }

    public S initial() {
        return initial;
    }

    public boolean isFinal(S state) {
        return finalStates.contains(state);
    }

    /**
     * Returns the state that follows {@code state} on {@code event}: {@code state} itself if the event is ignored, or a
     * failure with {@link ProblemKind#UNEXPECTED_EVENT} if it is rejected.
     */
    public Result<S> next(S state, E event) {
        S target = transitions.get(state).get(event);
        if (target != null) {
            return Result.ok(target);
        }
        unexpectedEventCount.incrementAndGet();
        return Result.failed(new Problem(
                ProblemKind.UNEXPECTED_EVENT, name + ": " + event + " in state " + state, RunState.UNKNOWN, 0));
    }

    /** Returns whether {@code event} leads from {@code state} to a different state. */
    public boolean changesState(S state, E event) {
        S target = transitions.get(state).get(event);
        return target != null && target != state;
    }

    /** Returns the number of events rejected by {@link #next} so far. */
    public long unexpectedEventCount() {
        return unexpectedEventCount.get();
    }

    private void readState(String key, JsonNode node) {
        S state = parseConstant(stateType, key);
        Map<E, S> transitionsOfState = new EnumMap<>(eventType);
        node.path("on")
                .properties()
                .forEach(field -> transitionsOfState.put(
                        parseConstant(eventType, field.getKey()),
                        parseConstant(stateType, field.getValue().asText())));
        node.path("ignore")
                .forEach(event -> transitionsOfState.putIfAbsent(parseConstant(eventType, event.asText()), state));
        Set<E> rejectedEvents = EnumSet.noneOf(eventType);
        node.path("reject").forEach(event -> rejectedEvents.add(parseConstant(eventType, event.asText())));
        rejectedEventsByState.put(state, rejectedEvents);
        transitions.put(state, transitionsOfState);
        if (node.path("final").asBoolean(false)) {
            finalStates.add(state);
            ignoreUnlistedEvents(state);
        }
    }

    private void ignoreUnlistedEvents(S state) {
        for (E event : eventType.getEnumConstants()) {
            if (!rejectedEventsByState.get(state).contains(event)) {
                transitions.get(state).putIfAbsent(event, state);
            }
        }
    }

    private void checkComplete() {
        for (S state : stateType.getEnumConstants()) {
            Map<E, S> transitionsOfState = transitions.get(state);
            if (transitionsOfState == null) {
                throw invalid("state " + state + " is missing");
            }
            for (E event : eventType.getEnumConstants()) {
                boolean isHandled = transitionsOfState.containsKey(event);
                boolean isRejected = rejectedEventsByState.get(state).contains(event);
                if (isHandled == isRejected) {
                    throw invalid("state " + state + " must handle, ignore or reject event " + event + " exactly once");
                }
            }
        }
    }

    private void checkReachable() {
        Set<S> reached = EnumSet.of(initial);
        Deque<S> queue = new ArrayDeque<>(reached);
        while (!queue.isEmpty()) {
            for (S target : transitions.get(queue.removeFirst()).values()) {
                if (reached.add(target)) {
                    queue.addLast(target);
                }
            }
        }
        for (S state : stateType.getEnumConstants()) {
            if (!reached.contains(state)) {
                throw invalid("state " + state + " cannot be reached");
            }
        }
    }

    private <T extends Enum<T>> T parseConstant(Class<T> type, String text) {
        for (T constant : type.getEnumConstants()) {
            if (constant.name().equals(text)) {
                return constant;
            }
        }
        throw invalid("'" + text + "' is not one of " + Arrays.toString(type.getEnumConstants()));
    }

    private FigspanException invalid(String detail) {
        return new FigspanException(ProblemKind.CHART_INVALID, detail, Location.of(name));
    }
}
