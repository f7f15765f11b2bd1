package io.figspan.core.chart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.ProblemKind;
import org.junit.jupiter.api.Test;

class StateChartTest {
    private enum Door {
        OPEN,
        CLOSED,
        LOCKED
    }

    private enum Action {
        PUSH,
        PULL,
        LOCK
    }

    private static final String VALID =
            """
            initial = "OPEN"
            [states.OPEN]
            on = { PUSH = "CLOSED" }
            ignore = ["PULL"]
            reject = ["LOCK"]
            [states.CLOSED]
            on = { PULL = "OPEN", LOCK = "LOCKED" }
            ignore = ["PUSH"]
            [states.LOCKED]
            final = true
            """;

    @Test
    void rejectedEventFailsAndIsCounted() {
        StateChart<Door, Action> chart = StateChart.parse("door", VALID, Door.class, Action.class);
        assertFalse(chart.next(Door.OPEN, Action.LOCK).isOk());
        assertEquals(1, chart.unexpectedEventCount());
    }

    @Test
    void ignoredEventKeepsState() {
        StateChart<Door, Action> chart = StateChart.parse("door", VALID, Door.class, Action.class);
        assertEquals(Door.OPEN, chart.next(Door.OPEN, Action.PULL).orThrow(io.figspan.core.error.Location.of("test")));
        assertFalse(chart.changesState(Door.OPEN, Action.PULL));
        assertTrue(chart.changesState(Door.OPEN, Action.PUSH));
    }

    @Test
    void chartWithUnhandledEventIsInvalid() {
        FigspanException e = assertThrows(
                FigspanException.class,
                () -> StateChart.parse("door", VALID.replace("ignore = [\"PULL\"]", ""), Door.class, Action.class));
        assertEquals(ProblemKind.CHART_INVALID, e.kind());
        assertTrue(e.getMessage().contains("PULL"), e.getMessage());
    }

    @Test
    void chartWithUnreachableStateIsInvalid() {
        String unreachable = VALID.replace(", LOCK = \"LOCKED\"", "")
                .replace("ignore = [\"PUSH\"]", "ignore = [\"PUSH\", \"LOCK\"]");
        FigspanException e = assertThrows(
                FigspanException.class, () -> StateChart.parse("door", unreachable, Door.class, Action.class));
        assertTrue(e.getMessage().contains("LOCKED cannot be reached"), e.getMessage());
    }
}
