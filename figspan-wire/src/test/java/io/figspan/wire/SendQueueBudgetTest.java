package io.figspan.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SendQueueBudgetTest {
    @Test
    void connectionsTogetherQueueNoMoreThanTheLimit() {
        SendQueueBudget budget = new SendQueueBudget(100);

        assertTrue(budget.tryAcquire(60));
        assertFalse(budget.tryAcquire(41));
        assertTrue(budget.tryAcquire(40));
        budget.release(60);

        assertEquals(40, budget.queuedBytes());
        assertTrue(budget.tryAcquire(60));
    }
}
