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

/** A voter's memory through damage: it has all that it answered for, or it does not vote. */
public class VoterStoreTest {
  @Rule public final TemporaryFolder temporary = new TemporaryFolder();

  private Path voted(String name, int rounds) throws Exception {
    Path folder = temporary.getRoot().toPath().resolve(name);
    VoterStore.create(folder, name);
    try (VoterStore f = VoterStore.open(folder, name)) {
      Voter v = new Voter(f.slots(), 16);
      for (int i = 1; i <= rounds; i++) {
        Ballot b = new Ballot(i, "p 1");
        f.write(
            List.of(
                v.handle(new ConsensusMessage.Prepare(i, "r", b)),
                v.handle(new ConsensusMessage.Accept(i, "r", b, new RegisterValue(i, "x " + i)))));
      }
    }
    return folder;
  }

  private static Map<String, Voter.Slot> slots(Path folder, String owner) throws Exception {
    try (VoterStore f = VoterStore.open(folder, owner)) {
      return f.slots();
    }
  }

  /**
   * Cut short at every byte, each of its files: all that was promised is there, or the voter says
   * that it is not.
   */
  @Test
  public void cutShortAnywhereItVotesOnAllOrNothing() throws Exception {
    Path folder = voted("v0", 5);
    Map<String, Voter.Slot> whole = slots(folder, "v0");
    assertEquals(new RegisterValue(5, "x 5"), whole.get("r").value());
    for (String name : List.of("registers.mv", "seal")) {
      Path file = folder.resolve(name);
      byte[] bytes = Files.readAllBytes(file);
      int unfit = 0;
      for (int length = 0;
          length < bytes.length;
          length += length < 64 || bytes.length - length < 512 ? 1 : 61) {
        Files.write(file, Arrays.copyOf(bytes, length));
        try {
          assertEquals(name + " cut at " + length, whole, slots(folder, "v0"));
        } catch (UnusableStore e) {
          unfit++;
        }
      }
      assertTrue(name + " was never found wanting", unfit > 0);
      Files.write(file, bytes);
    }
    assertEquals(whole, slots(folder, "v0"));
  }

  /** Votes go on for months: the space of what was overwritten is used again. */
  @Test
  public void theFileDoesNotGrowWithTheVotes() throws Exception {
    Path store = voted("v0", 20).resolve("registers.mv");
    long few = Files.size(store);
    long many = Files.size(voted("v1", 400).resolve("registers.mv"));
    assertTrue(few + " and " + many, many <= 4 * few);
  }

  /** An older copy put back under a newer seal has forgotten what was promised. */
  @Test
  public void anOlderCopyIsNotVotedOn() throws Exception {
    Path folder = voted("v0", 2);
    byte[] old = Files.readAllBytes(folder.resolve("registers.mv"));
    try (VoterStore f = VoterStore.open(folder, "v0")) {
      f.write(
          List.of(
              new Voter(f.slots(), 16)
                  .handle(new ConsensusMessage.Prepare(9, "r", new Ballot(9, "q")))));
    }
    Files.write(folder.resolve("registers.mv"), old);
    assertTrue(
        assertThrows(UnusableStore.class, () -> VoterStore.open(folder, "v0"))
            .getMessage()
            .contains("lost"));
  }

  @Test
  public void anothersALostAndAHeldFolderAreNotVotedOn() throws Exception {
    Path folder = voted("v0", 1);
    assertTrue(
        assertThrows(UnusableStore.class, () -> VoterStore.open(folder, "v1"))
            .getMessage()
            .contains("v0"));
    assertThrows(UnusableStore.class, () -> VoterStore.create(folder, "v0"));
    try (VoterStore f = VoterStore.open(folder, "v0")) {
      assertThrows(UnusableStore.class, () -> VoterStore.open(folder, "v0"));
    }
    Files.delete(folder.resolve("registers.mv"));
    assertThrows(UnusableStore.class, () -> VoterStore.open(folder, "v0"));
  }

  /** A write that fails ends the voting of this process: what is on disk is then not known. */
  @Test
  public void aFailedWriteIsForGood() throws Exception {
    Path folder = voted("v0", 1);
    VoterStore f = VoterStore.open(folder, "v0");
    Map<String, Voter.Slot> before = new TreeMap<>(f.slots());
    f.close(); // as if the disk had gone
    List<Voter.VoteResult> steps =
        List.of(
            new Voter(before, 16).handle(new ConsensusMessage.Prepare(7, "r", new Ballot(7, "q"))));
    assertThrows(IOException.class, () -> f.write(steps));
    assertThrows(IOException.class, () -> f.write(steps));
    assertEquals(before, slots(folder, "v0"));
  }
}
