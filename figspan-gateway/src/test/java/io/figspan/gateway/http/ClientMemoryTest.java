package io.figspan.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.http.ClientMemory.Account;
import io.figspan.gateway.http.ClientMemory.Kind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against ordinary clients that are rejected for what others hold, and against memory that is not returned. */
class ClientMemoryTest {
    private static final long LIMIT_BYTES = 100_000;

    private final ClientMemory memory = new ClientMemory(LIMIT_BYTES);
    private final List<String> evicted = new ArrayList<>();

    private Account open(String name) {
        return memory.open(kind -> evicted.add(name + " " + kind));
    }

    @Test
    void theMostExpensiveConnectionLosesItsArrivingHeadToACheaperOne() {
        Account cheap = open("cheap");
        assertTrue(cheap.trySet(Kind.ARRIVING_HEADS, 20_000));
        assertTrue(open("expensive").trySet(Kind.ARRIVING_HEADS, 80_000));

        assertTrue(open("other").trySet(Kind.ARRIVING_HEADS, 30_000));

        assertEquals(List.of("expensive ARRIVING_HEADS"), evicted);
    }

    @Test
    void aConnectionThatHoldsMostItselfIsRejected() {
        assertTrue(open("first").trySet(Kind.ARRIVING_HEADS, 50_000));
        Account second = open("second");

        assertFalse(second.trySet(Kind.ARRIVING_HEADS, 60_000));
        assertEquals(List.of(), evicted);
    }

    @Test
    void aSmallHeadIsAdmittedWhateverOthersHold() {
        assertTrue(open("large").trySet(Kind.HEADS_BEFORE_ANSWERS, 2 * LIMIT_BYTES));

        assertTrue(open("small").trySet(Kind.HEADS_BEFORE_ANSWERS, ClientMemory.FREE_BYTES));
        assertFalse(open("other").trySet(Kind.HEADS_BEFORE_ANSWERS, ClientMemory.FREE_BYTES + 1));
        assertEquals(List.of(), evicted);
    }

    @Test
    void theAnswerThatIsUnreadForLongestIsGivenUpFirst() {
        assertTrue(open("oldest").trySet(Kind.UNREAD_ANSWERS, 40_000));
        assertTrue(open("second").trySet(Kind.UNREAD_ANSWERS, 60_000));

        assertTrue(open("newest").trySet(Kind.UNREAD_ANSWERS, 40_000));

        assertEquals(List.of("oldest UNREAD_ANSWERS"), evicted);
    }

    @Test
    void aClosedConnectionReturnsAllAndHoldsNothingMore() {
        Account account = open("closed");
        assertTrue(account.trySet(Kind.ARRIVING_HEADS, 50_000));
        assertTrue(account.trySet(Kind.UNREAD_ANSWERS, 50_000));

        account.close();

        assertTrue(account.tryAdd(Kind.ARRIVING_HEADS, 50_000));
        assertEquals(0, memory.usedBytes(Kind.ARRIVING_HEADS));
        assertEquals(0, memory.usedBytes(Kind.UNREAD_ANSWERS));
    }
}
