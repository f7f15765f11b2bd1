package io.figspan.gateway.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.StoreRevision;
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

    private static StoreRevision at(long number) {
        return new StoreRevision(1, number);
    }

    private static Item item(String key, long revision) {
        return new Item(key, Optional.of(new byte[] {(byte) revision}), at(revision));
    }

    private static Item removed(String key, long revision) {
        return new Item(key, Optional.empty(), at(revision));
    }

    @Test
    void onlyNewerChangesTakeEffect() {
        assertEquals(1, copy.apply(List.of(item("a", 5))).size());
        assertTrue(copy.apply(List.of(item("a", 5))).isEmpty());
        assertTrue(copy.apply(List.of(item("a", 4))).isEmpty());
        assertEquals(1, copy.apply(List.of(item("a", 6))).size());
        assertEquals(at(6), copy.revision());
    }

    @Test
    void anItemThatIsMissingFromASnapshotWasRemoved() {
        copy.apply(List.of(item("a", 5), item("b", 6)));
        List<Item> changes = copy.applySnapshot(List.of(item("b", 6)), at(9));
        assertEquals(List.of("a"), changes.stream().map(Item::key).toList());
        assertTrue(changes.get(0).value().isEmpty());
    }

    @Test
    void aSnapshotOlderThanTheCopyChangesNothing() {
        copy.apply(List.of(item("a", 5), removed("b", 8)));
        assertTrue(
                copy.applySnapshot(List.of(item("a", 5), item("b", 3)), at(6)).isEmpty());
    }

    @Test
    void anEncodedCopyOfAnotherHostIsAppliedWithoutLoss() {
        ItemCopy other = new ItemCopy();
        other.apply(List.of(item("a", 5), item("b", 6), removed("c", 9)));
        copy.apply(List.of(item("a", 5), item("c", 2)));
        ItemChanges read =
                ItemChanges.decode(other.changesAfter(StoreRevision.NONE).encode());
        List<Item> changes = copy.applyChanges(read);
        assertEquals(List.of("c", "b"), changes.stream().map(Item::key).toList());
        assertEquals(at(9), copy.revision());
        assertArrayEquals(
                other.changesAfter(StoreRevision.NONE).encode(),
                copy.changesAfter(StoreRevision.NONE).encode());
    }

    @Test
    void changesAfterARevisionAreEnoughForAHostAtThatRevision() {
        ItemCopy other = new ItemCopy();
        other.applySnapshot(List.of(item("a", 5), item("b", 6)), at(6));
        copy.applyChanges(
                ItemChanges.decode(other.changesAfter(StoreRevision.NONE).encode()));
        other.apply(List.of(removed("a", 7), item("c", 8), removed("never-seen", 9)));

        ItemChanges changes =
                ItemChanges.decode(other.changesAfter(copy.revision()).encode());
        assertEquals(
                List.of("a", "c"),
                copy.applyChanges(changes).stream().map(Item::key).toList());
        assertEquals(at(9), copy.revision());
        assertArrayEquals(
                other.changesAfter(StoreRevision.NONE).encode(),
                copy.changesAfter(StoreRevision.NONE).encode());
    }

    @Test
    void aHostOlderThanTheOldestTombstoneGetsAllItems() {
        copy.apply(List.of(item("a", 3)));
        ItemCopy other = new ItemCopy();
        other.applySnapshot(List.of(item("b", 6)), at(8));

        copy.applyChanges(ItemChanges.decode(other.changesAfter(copy.revision()).encode()));

        assertArrayEquals(
                other.changesAfter(StoreRevision.NONE).encode(),
                copy.changesAfter(StoreRevision.NONE).encode());
    }

    @Test
    void aCopyReadFromAnotherHostCanBePassedOn() {
        ItemCopy store = new ItemCopy();
        store.applySnapshot(List.of(item("a", 5), item("b", 6)), at(6));
        ItemCopy third = new ItemCopy();
        copy.applyChanges(
                ItemChanges.decode(store.changesAfter(StoreRevision.NONE).encode()));
        third.applyChanges(
                ItemChanges.decode(store.changesAfter(StoreRevision.NONE).encode()));
        store.apply(List.of(removed("b", 7)));
        copy.applyChanges(ItemChanges.decode(store.changesAfter(copy.revision()).encode()));

        third.applyChanges(
                ItemChanges.decode(copy.changesAfter(third.revision()).encode()));

        assertArrayEquals(
                store.changesAfter(StoreRevision.NONE).encode(),
                third.changesAfter(StoreRevision.NONE).encode());
    }

    @Test
    void changesThatArriveAfterNewerOnesAreIgnored() {
        ItemCopy other = new ItemCopy();
        other.applySnapshot(List.of(item("a", 5)), at(5));
        copy.applyChanges(
                ItemChanges.decode(other.changesAfter(StoreRevision.NONE).encode()));
        other.apply(List.of(item("b", 6)));
        ItemChanges late = ItemChanges.decode(other.changesAfter(at(5)).encode());
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
        byte[] whole = copy.changesAfter(StoreRevision.NONE).encode();
        byte[] truncated = java.util.Arrays.copyOf(whole, whole.length - 1);
        assertThrows(FigspanException.class, () -> ItemChanges.decode(truncated));
    }

    /** Guards against a change between two pages of a listing that hosts which read the copy before never get. */
    @Test
    void aChangeThatFollowsALaterOneIsPassedOnToHostsThatHaveTheLaterOne() {
        copy.applySnapshot(List.of(item("a", 5), item("z", 12)), at(10));
        ItemCopy reader = new ItemCopy();
        reader.applyChanges(copy.changesAfter(reader.revision()));
        copy.apply(List.of(removed("a", 11), item("z", 12)));

        List<Item> changes = reader.applyChanges(copy.changesAfter(reader.revision()));

        assertEquals(List.of("a"), changes.stream().map(Item::key).toList());
    }

    /** Guards against hosts that read from each other although no item has changed. */
    @Test
    void aSnapshotClaimsNoLaterRevisionThanThatOfItsItems() {
        copy.applySnapshot(List.of(item("a", 5), item("b", 7)), at(30));

        assertEquals(at(7), copy.revision());
    }

    @Test
    void aRemovalThatASnapshotShowsIsPassedOnToOtherHosts() {
        copy.applySnapshot(List.of(item("a", 5), item("b", 7)), at(10));
        ItemCopy reader = new ItemCopy();
        reader.applyChanges(copy.changesAfter(reader.revision()));

        copy.applySnapshot(List.of(item("b", 7)), at(30));
        List<Item> changes = reader.applyChanges(copy.changesAfter(reader.revision()));

        assertEquals(at(30), copy.revision());
        assertEquals(List.of("a"), changes.stream().map(Item::key).toList());
    }

    /** Guards against a host that never reaches the revision of another one and reads its copy again and again. */
    @Test
    void aSnapshotOfAnotherHostWhoseLastChangeIsARemovalReachesItsRevision() {
        copy.applySnapshot(List.of(item("a", 5), item("b", 7)), at(10));
        copy.apply(List.of(removed("a", 30)));
        ItemCopy reader = new ItemCopy();

        reader.applyChanges(copy.changesAfter(reader.revision()));

        assertEquals(at(30), reader.revision());
    }

    // Epochs

    private static Item inEpoch(long epoch, String key, long number) {
        return new Item(key, Optional.of(new byte[] {(byte) number}), new StoreRevision(epoch, number));
    }

    /** Guards against a copy that ignores a store whose revisions have gone back. */
    @Test
    void aSnapshotOfALaterEpochReplacesTheCopyWhateverItsRevisions() {
        copy.apply(List.of(item("a", 50), item("b", 60), item("c", 61)));

        List<Item> changes =
                copy.applySnapshot(List.of(inEpoch(2, "a", 50), inEpoch(2, "b", 7)), new StoreRevision(2, 55));

        assertEquals(List.of("c", "b"), changes.stream().map(Item::key).toList());
        assertEquals(2, copy.revision().epoch());
        assertEquals(1, copy.apply(List.of(inEpoch(2, "b", 8))).size());
    }

    @Test
    void whatComesFromAnEarlierEpochIsIgnored() {
        copy.applySnapshot(List.of(inEpoch(2, "a", 5)), new StoreRevision(2, 5));
        ItemCopy outdated = new ItemCopy();
        outdated.apply(List.of(item("a", 90), item("b", 91)));

        assertTrue(copy.apply(List.of(item("b", 91))).isEmpty());
        assertTrue(copy.applySnapshot(List.of(item("b", 91)), at(91)).isEmpty());
        assertTrue(copy.applyChanges(outdated.changesAfter(StoreRevision.NONE)).isEmpty());
        assertTrue(copy.applyChanges(outdated.changesAfter(at(90))).isEmpty());
        assertEquals(new StoreRevision(2, 5), copy.revision());
    }

    @Test
    void aHostOfAnEarlierEpochGetsAllItems() {
        ItemCopy reader = new ItemCopy();
        reader.apply(List.of(item("a", 50), item("removed", 51)));
        copy.applySnapshot(List.of(inEpoch(2, "a", 5), inEpoch(2, "b", 6)), new StoreRevision(2, 6));

        ItemChanges changes =
                ItemChanges.decode(copy.changesAfter(reader.revision()).encode());
        reader.applyChanges(changes);

        assertTrue(changes.isSnapshot());
        assertArrayEquals(
                copy.changesAfter(StoreRevision.NONE).encode(),
                reader.changesAfter(StoreRevision.NONE).encode());
    }

    @Test
    void aRemovedItemIsNotTakenBackFromAnOlderChange() {
        copy.apply(List.of(item("a", 5), removed("a", 9)));

        assertTrue(copy.apply(List.of(item("a", 5))).isEmpty());
        assertEquals(1, copy.apply(List.of(item("a", 10))).size());
    }

    /** A store that returns twice, with hosts that see only one of the returns, in random order. */
    @Property(seed = "47")
    void copiesThatExchangeTheirItemsAgreeOnTheLatestEpoch(@ForAll @Size(min = 1, max = 40) List<Integer> steps) {
        List<ItemCopy> hosts = List.of(new ItemCopy(), new ItemCopy(), new ItemCopy());
        for (int step : steps) {
            ItemCopy host = hosts.get(Math.floorMod(step, 3));
            ItemCopy other = hosts.get(Math.floorMod(step / 3, 3));
            long epoch = 1L + Math.floorMod(step / 9, 3);
            StoreRevision before = host.revision();
            if (step % 2 == 0) {
                host.applySnapshot(List.of(inEpoch(epoch, "k" + epoch, epoch)), new StoreRevision(epoch, 9));
            } else {
                host.applyChanges(other.changesAfter(host.revision()));
            }
            assertTrue(!before.isNewerThan(host.revision()), "a host went back from " + before);
        }
        ItemCopy newest = hosts.stream()
                .max(java.util.Comparator.comparing(ItemCopy::revision))
                .orElseThrow();
        for (ItemCopy host : hosts) {
            host.applyChanges(newest.changesAfter(host.revision()));
            assertArrayEquals(
                    newest.changesAfter(StoreRevision.NONE).encode(),
                    host.changesAfter(StoreRevision.NONE).encode());
        }
    }
}
