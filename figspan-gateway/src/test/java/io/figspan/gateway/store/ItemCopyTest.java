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

/** Guards against copies that return to older items or keep removed ones. */
class ItemCopyTest {
    private final ItemCopy copy = new ItemCopy();

    private static Item item(String key, long revision) {
        return new Item(key, Optional.of(new byte[] {(byte) revision}), revision);
    }

    private static Item removed(String key, long revision) {
        return new Item(key, Optional.empty(), revision);
    }

    @Test
    void onlyNewerChangesTakeEffect() {
        assertEquals(1, copy.apply(List.of(item("a", 5))).size());
        assertTrue(copy.apply(List.of(item("a", 5))).isEmpty());
        assertTrue(copy.apply(List.of(item("a", 4))).isEmpty());
        assertEquals(1, copy.apply(List.of(item("a", 6))).size());
        assertEquals(6, copy.revision());
    }

    @Test
    void anItemThatIsMissingFromASnapshotWasRemoved() {
        copy.apply(List.of(item("a", 5), item("b", 6)));
        List<Item> changes = copy.applySnapshot(List.of(item("b", 6)), 9);
        assertEquals(List.of("a"), changes.stream().map(Item::key).toList());
        assertTrue(changes.get(0).value().isEmpty());
    }

    @Test
    void aSnapshotOlderThanTheCopyChangesNothing() {
        copy.apply(List.of(item("a", 5), removed("b", 8)));
        assertTrue(copy.applySnapshot(List.of(item("a", 5), item("b", 3)), 6).isEmpty());
    }

    @Test
    void anEncodedCopyOfAnotherHostIsAppliedWithoutLoss() {
        ItemCopy other = new ItemCopy();
        other.apply(List.of(item("a", 5), item("b", 6), removed("c", 9)));
        copy.apply(List.of(item("a", 5), item("c", 2)));
        ItemChanges read = ItemChanges.decode(other.changesAfter(0).encode());
        List<Item> changes = copy.applyChanges(read);
        assertEquals(List.of("c", "b"), changes.stream().map(Item::key).toList());
        assertEquals(9, copy.revision());
        assertArrayEquals(other.changesAfter(0).encode(), copy.changesAfter(0).encode());
    }

    @Test
    void changesAfterARevisionAreEnoughForAHostAtThatRevision() {
        ItemCopy other = new ItemCopy();
        other.applySnapshot(List.of(item("a", 5), item("b", 6)), 6);
        copy.applyChanges(ItemChanges.decode(other.changesAfter(0).encode()));
        other.apply(List.of(removed("a", 7), item("c", 8), removed("never-seen", 9)));

        ItemChanges changes =
                ItemChanges.decode(other.changesAfter(copy.revision()).encode());
        assertEquals(
                List.of("a", "c"),
                copy.applyChanges(changes).stream().map(Item::key).toList());
        assertEquals(9, copy.revision());
        assertArrayEquals(other.changesAfter(0).encode(), copy.changesAfter(0).encode());
    }

    @Test
    void aHostOlderThanTheOldestTombstoneGetsAllItems() {
        copy.apply(List.of(item("a", 3)));
        ItemCopy other = new ItemCopy();
        other.applySnapshot(List.of(item("b", 6)), 8);

        copy.applyChanges(ItemChanges.decode(other.changesAfter(copy.revision()).encode()));

        assertArrayEquals(other.changesAfter(0).encode(), copy.changesAfter(0).encode());
    }

    @Test
    void aCopyReadFromAnotherHostCanBePassedOn() {
        ItemCopy store = new ItemCopy();
        store.applySnapshot(List.of(item("a", 5), item("b", 6)), 6);
        ItemCopy third = new ItemCopy();
        copy.applyChanges(ItemChanges.decode(store.changesAfter(0).encode()));
        third.applyChanges(ItemChanges.decode(store.changesAfter(0).encode()));
        store.apply(List.of(removed("b", 7)));
        copy.applyChanges(ItemChanges.decode(store.changesAfter(copy.revision()).encode()));

        third.applyChanges(
                ItemChanges.decode(copy.changesAfter(third.revision()).encode()));

        assertArrayEquals(store.changesAfter(0).encode(), third.changesAfter(0).encode());
    }

    @Test
    void changesThatArriveAfterNewerOnesAreIgnored() {
        ItemCopy other = new ItemCopy();
        other.applySnapshot(List.of(item("a", 5)), 5);
        copy.applyChanges(ItemChanges.decode(other.changesAfter(0).encode()));
        other.apply(List.of(item("b", 6)));
        ItemChanges late = ItemChanges.decode(other.changesAfter(5).encode());
        copy.apply(List.of(item("b", 6), removed("b", 7)));

        assertTrue(copy.applyChanges(late).isEmpty());
    }

    @Property(seed = "31")
    void randomBytesCauseNoErrorOtherThanMalformedBody(@ForAll @Size(max = 100) byte[] bytes) {
        try {
            ItemChanges.decode(bytes);
        } catch (FigspanException refusal) {
            assertEquals(ProblemKind.MALFORMED_BODY, refusal.kind());
        }
    }

    @Test
    void aTruncatedCopyIsRefused() {
        copy.apply(List.of(item("a", 5)));
        byte[] whole = copy.changesAfter(0).encode();
        byte[] truncated = java.util.Arrays.copyOf(whole, whole.length - 1);
        assertThrows(FigspanException.class, () -> ItemChanges.decode(truncated));
    }

    /** Guards against a change between two pages of a listing that hosts which read the copy before never get. */
    @Test
    void aChangeThatFollowsALaterOneIsPassedOnToHostsThatHaveTheLaterOne() {
        copy.applySnapshot(List.of(item("a", 5), item("z", 12)), 10);
        ItemCopy reader = new ItemCopy();
        reader.applyChanges(copy.changesAfter(reader.revision()));
        copy.apply(List.of(removed("a", 11), item("z", 12)));

        List<Item> changes = reader.applyChanges(copy.changesAfter(reader.revision()));

        assertEquals(List.of("a"), changes.stream().map(Item::key).toList());
    }

    /** Guards against hosts that read from each other although no item has changed. */
    @Test
    void aSnapshotClaimsNoLaterRevisionThanThatOfItsItems() {
        copy.applySnapshot(List.of(item("a", 5), item("b", 7)), 30);

        assertEquals(7, copy.revision());
    }

    @Test
    void aRemovalThatASnapshotShowsIsPassedOnToOtherHosts() {
        copy.applySnapshot(List.of(item("a", 5), item("b", 7)), 10);
        ItemCopy reader = new ItemCopy();
        reader.applyChanges(copy.changesAfter(reader.revision()));

        copy.applySnapshot(List.of(item("b", 7)), 30);
        List<Item> changes = reader.applyChanges(copy.changesAfter(reader.revision()));

        assertEquals(30, copy.revision());
        assertEquals(List.of("a"), changes.stream().map(Item::key).toList());
    }

    /** Guards against a host that never reaches the revision of another one and reads its copy again and again. */
    @Test
    void aSnapshotOfAnotherHostWhoseLastChangeIsARemovalReachesItsRevision() {
        copy.applySnapshot(List.of(item("a", 5), item("b", 7)), 10);
        copy.apply(List.of(removed("a", 30)));
        ItemCopy reader = new ItemCopy();

        reader.applyChanges(copy.changesAfter(reader.revision()));

        assertEquals(30, reader.revision());
    }
}
