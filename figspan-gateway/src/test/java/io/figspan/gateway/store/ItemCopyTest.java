package io.figspan.gateway.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.ProblemKind;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against copies that go back to older items or keep removed ones. */
class ItemCopyTest {
    private final ItemCopy copy = new ItemCopy();

    private static Item item(String key, long revision) {
        return new Item(key, Optional.of(new byte[] {(byte) revision}), revision);
    }

    private static Item removed(String key, long revision) {
        return new Item(key, Optional.empty(), revision);
    }

    @Test
    void onlyNewerChangesAreNews() {
        assertEquals(1, copy.apply(List.of(item("a", 5))).size());
        assertTrue(copy.apply(List.of(item("a", 5))).isEmpty());
        assertTrue(copy.apply(List.of(item("a", 4))).isEmpty());
        assertEquals(1, copy.apply(List.of(item("a", 6))).size());
        assertEquals(6, copy.revision());
    }

    @Test
    void anItemThatIsMissingFromAWholeReadingWasRemoved() {
        copy.apply(List.of(item("a", 5), item("b", 6)));
        List<Item> changes = copy.applyWhole(List.of(item("b", 6)), 9);
        assertEquals(List.of("a"), changes.stream().map(Item::key).toList());
        assertTrue(changes.get(0).value().isEmpty());
    }

    @Test
    void aReadingThatIsOlderThanWhatIsKnownChangesNothing() {
        copy.apply(List.of(item("a", 5), removed("b", 8)));
        assertTrue(copy.applyWhole(List.of(item("a", 5), item("b", 3)), 6).isEmpty());
    }

    @Test
    void theCopyOfAnotherHostIsReadAsItWasWritten() {
        ItemCopy other = new ItemCopy();
        other.apply(List.of(item("a", 5), item("b", 6), removed("c", 9)));
        copy.apply(List.of(item("a", 5), item("c", 2)));
        ItemCopy read = ItemCopy.decode(other.encode());
        List<Item> changes = copy.applyCopy(read);
        assertEquals(List.of("c", "b"), changes.stream().map(Item::key).toList());
        assertEquals(9, copy.revision());
        assertArrayEquals(other.encode(), copy.encode());
    }

    @Property(seed = "31")
    void randomBytesAreOnlyEverRefused(@ForAll @Size(max = 100) byte[] bytes) {
        try {
            ItemCopy.decode(bytes);
        } catch (FigspanException refusal) {
            assertEquals(ProblemKind.MALFORMED_BODY, refusal.kind());
        }
    }

    @Test
    void aCutCopyIsRefused() {
        copy.apply(List.of(item("a", 5)));
        byte[] whole = copy.encode();
        byte[] cut = java.util.Arrays.copyOf(whole, whole.length - 1);
        assertThrows(FigspanException.class, () -> ItemCopy.decode(cut));
    }
}
