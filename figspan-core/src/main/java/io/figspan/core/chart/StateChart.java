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
 * A state chart read from a TOML file and checked when it is read: every state is reachable from the initial one, and
 * every state names what each event does in it.
 *
 * <p>File shape: {@code initial = "STATE"}, then for each state a table {@code [states.NAME]} with optional
 * {@code final = true}, {@code on = { EVENT = "STATE" }}, {@code ignore = ["EVENT"]} and {@code reject = ["EVENT"]}.
 * A rejected event is a typed error and counted. A final state ignores every event that it does not name.
 *
 * @param <S> states
 * @param <E> events
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>> {
    private final String name;
    private final Class<S> states;
    private final Class<E> events;
    private final S initial;
    private final Map<S, Map<E, S>> transitions;
    private final Map<S, Set<E>> rejected;
    private final Set<S> finalStates;
    private final AtomicLong unexpectedCount = new AtomicLong();

    private StateChart(String name, Class<S> states, Class<E> events, JsonNode root) {
        this.name = name;
        this.states = states;
        this.events = events;
        this.initial = parse(states, root.path("initial").asText());
        this.transitions = new EnumMap<>(states);
        this.rejected = new EnumMap<>(states);
        this.finalStates = EnumSet.noneOf(states);
        root.path("states")
                .fieldNames()
                .forEachRemaining(key -> readState(key, root.path("states").path(key)));
        checkComplete();
        checkReachable();
    }

    /** Reads and checks a chart from a class path resource such as {@code /charts/ticket.toml}. */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String resource, Class<S> states, Class<E> events) {
        try (InputStream in = states.getResourceAsStream(resource)) {
            if (in == null) {
                throw new FigspanException(ProblemKind.CHART_INVALID, "chart file is missing", Location.of(resource));
            }
            return new StateChart<>(resource, states, events, new TomlMapper().readTree(in));
        } catch (IOException e) {
            throw new FigspanException(ProblemKind.CHART_INVALID, e.getMessage(), Location.of(resource), e);
        }
    }

    /** Parses and checks a chart from text; {@code name} appears in errors. */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> parse(
            String name, String toml, Class<S> states, Class<E> events) {
        try {
            return new StateChart<>(name, states, events, new TomlMapper().readTree(toml));
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

    /** The state after {@code event}; the same state when it is ignored; a failure when it is not expected. */
    public Result<S> next(S state, E event) {
        S target = transitions.get(state).get(event);
        if (target != null) {
            return Result.ok(target);
        }
        unexpectedCount.incrementAndGet();
        return Result.failed(new Problem(
                ProblemKind.UNEXPECTED_EVENT, name + ": " + event + " in state " + state, RunState.UNKNOWN, 0));
    }

    /** Tells whether {@code event} moves {@code state} to another state. */
    public boolean changesState(S state, E event) {
        S target = transitions.get(state).get(event);
        return target != null && target != state;
    }

    /** Number of events that met a state that did not expect them. */
    public long unexpectedCount() {
        return unexpectedCount.get();
    }

    // Reading and checks

    private void readState(String key, JsonNode node) {
        S state = parse(states, key);
        Map<E, S> row = new EnumMap<>(events);
        node.path("on")
                .properties()
                .forEach(field -> row.put(
                        parse(events, field.getKey()),
                        parse(states, field.getValue().asText())));
        node.path("ignore").forEach(event -> row.putIfAbsent(parse(events, event.asText()), state));
        Set<E> rejectedHere = EnumSet.noneOf(events);
        node.path("reject").forEach(event -> rejectedHere.add(parse(events, event.asText())));
        rejected.put(state, rejectedHere);
        transitions.put(state, row);
        if (node.path("final").asBoolean(false)) {
            finalStates.add(state);
            ignoreTheRest(state);
        }
    }

    private void ignoreTheRest(S state) {
        for (E event : events.getEnumConstants()) {
            if (!rejected.get(state).contains(event)) {
                transitions.get(state).putIfAbsent(event, state);
            }
        }
    }

    private void checkComplete() {
        for (S state : states.getEnumConstants()) {
            Map<E, S> row = transitions.get(state);
            if (row == null) {
                throw invalid("state " + state + " is missing");
            }
            for (E event : events.getEnumConstants()) {
                boolean handled = row.containsKey(event);
                boolean refused = rejected.get(state).contains(event);
                if (handled == refused) {
                    throw invalid("state " + state + " must handle, ignore or reject event " + event + " exactly once");
                }
            }
        }
    }

    private void checkReachable() {
        Set<S> seen = EnumSet.of(initial);
        Deque<S> queue = new ArrayDeque<>(seen);
        while (!queue.isEmpty()) {
            for (S target : transitions.get(queue.removeFirst()).values()) {
                if (seen.add(target)) {
                    queue.addLast(target);
                }
            }
        }
        for (S state : states.getEnumConstants()) {
            if (!seen.contains(state)) {
                throw invalid("state " + state + " cannot be reached");
            }
        }
    }

    private <T extends Enum<T>> T parse(Class<T> type, String text) {
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
