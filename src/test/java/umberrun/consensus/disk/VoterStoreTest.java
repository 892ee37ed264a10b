package umberrun.consensus.disk;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import umberrun.consensus.Ballot;
import umberrun.consensus.ConsensusMessage;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.Voter;
import umberrun.consensus.disk.VoterStore.UnusableStore;

/**
 * Damages a voter store in many ways: it must still have all slots that were written, or be
 * rejected.
 */
public class VoterStoreTest {
  @Rule public final TemporaryFolder temporary = new TemporaryFolder();

  /** Creates a store and writes this number of votes to it. */
  private Path createStore(String name, int rounds) throws Exception {
    Path folder = temporary.getRoot().toPath().resolve(name);
    VoterStore.create(folder, name);
    try (VoterStore store = VoterStore.open(folder, name)) {
      Voter voter = new Voter(store.slots(), 16);
      for (int i = 1; i <= rounds; i++) {
        Ballot ballot = new Ballot(i, "p 1");
        store.write(
            List.of(
                voter.handle(new ConsensusMessage.Prepare(i, "r", ballot)),
                voter.handle(
                    new ConsensusMessage.Accept(i, "r", ballot, new RegisterValue(i, "x " + i)))));
      }
    }
    return folder;
  }

  private static Map<String, Voter.Slot> slots(Path folder, String owner) throws Exception {
    try (VoterStore store = VoterStore.open(folder, owner)) {
      return store.slots();
    }
  }

  /** Truncates each file at many lengths: the store either has all slots or is rejected. */
  @Test
  public void truncatedFilesGiveAllSlotsOrAreRejected() throws Exception {
    Path folder = createStore("v0", 5);
    Map<String, Voter.Slot> complete = slots(folder, "v0");
    assertEquals(new RegisterValue(5, "x 5"), complete.get("r").value());
    for (String name : List.of("registers.mv", "seal")) {
      Path file = folder.resolve(name);
      byte[] bytes = Files.readAllBytes(file);
      int rejected = 0;
      for (int length = 0;
          length < bytes.length;
          length += length < 64 || bytes.length - length < 512 ? 1 : 61) {
        Files.write(file, Arrays.copyOf(bytes, length));
        try {
          assertEquals(name + " cut at " + length, complete, slots(folder, "v0"));
        } catch (UnusableStore e) {
          rejected++;
        }
      }
      assertTrue(name + " was never rejected", rejected > 0);
      Files.write(file, bytes);
    }
    assertEquals(complete, slots(folder, "v0"));
  }

  /** Voters run for months, so the space of overwritten slots must be reused. */
  @Test
  public void fileDoesNotGrowWithTheNumberOfVotes() throws Exception {
    Path file = createStore("v0", 20).resolve("registers.mv");
    long sizeAfterFewVotes = Files.size(file);
    long sizeAfterManyVotes = Files.size(createStore("v1", 400).resolve("registers.mv"));
    assertTrue(
        sizeAfterFewVotes + " and " + sizeAfterManyVotes,
        sizeAfterManyVotes <= 4 * sizeAfterFewVotes);
  }

  /** A file restored from an older copy lacks promises, which the newer seal reveals. */
  @Test
  public void olderCopyIsRejected() throws Exception {
    Path folder = createStore("v0", 2);
    byte[] oldCopy = Files.readAllBytes(folder.resolve("registers.mv"));
    try (VoterStore store = VoterStore.open(folder, "v0")) {
      store.write(
          List.of(
              new Voter(store.slots(), 16)
                  .handle(new ConsensusMessage.Prepare(9, "r", new Ballot(9, "q")))));
    }
    Files.write(folder.resolve("registers.mv"), oldCopy);
    assertTrue(
        assertThrows(UnusableStore.class, () -> VoterStore.open(folder, "v0"))
            .getMessage()
            .contains("lost"));
  }

  @Test
  public void foreignLockedAndIncompleteStoresAreRejected() throws Exception {
    Path folder = createStore("v0", 1);
    assertTrue(
        assertThrows(UnusableStore.class, () -> VoterStore.open(folder, "v1"))
            .getMessage()
            .contains("v0"));
    assertThrows(UnusableStore.class, () -> VoterStore.create(folder, "v0"));
    try (VoterStore store = VoterStore.open(folder, "v0")) {
      assertThrows(UnusableStore.class, () -> VoterStore.open(folder, "v0"));
    }
    Files.delete(folder.resolve("registers.mv"));
    assertThrows(UnusableStore.class, () -> VoterStore.open(folder, "v0"));
  }

  /**
   * After a failed write the contents on disk are unknown, so the process must not vote any more.
   */
  @Test
  public void allWritesFailAfterAFailedOne() throws Exception {
    Path folder = createStore("v0", 1);
    VoterStore store = VoterStore.open(folder, "v0");
    Map<String, Voter.Slot> before = new TreeMap<>(store.slots());
    store.close(); // makes the next write fail, as if the disk had gone
    List<Voter.VoteResult> results =
        List.of(
            new Voter(before, 16).handle(new ConsensusMessage.Prepare(7, "r", new Ballot(7, "q"))));
    assertThrows(IOException.class, () -> store.write(results));
    assertThrows(IOException.class, () -> store.write(results));
    assertEquals(before, slots(folder, "v0"));
  }
}
