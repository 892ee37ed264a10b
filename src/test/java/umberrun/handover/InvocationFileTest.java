package umberrun.handover;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import umberrun.core.CallFingerprint;
import umberrun.core.InvocationEntry;
import umberrun.core.InvocationEntry.Accepted;
import umberrun.core.InvocationEntry.Deleted;
import umberrun.core.InvocationEntry.Ended;
import umberrun.core.InvocationEntry.Joined;
import umberrun.core.InvocationJournal;
import umberrun.core.Result;

/** The invocation journal as processes that write, stall and are killed leave it. */
public class InvocationFileTest {
  private static final Accepted ACCEPTED =
      new Accepted("i1", "0\nk", new CallFingerprint(1, 2, "ab"), true, 3, "a");

  @Rule public final TemporaryFolder folder = new TemporaryFolder();
  private final List<String> logged = new ArrayList<>();

  /** A process that keeps the entries of others. */
  private static final class Process implements InvocationJournal.Reader {
    final List<InvocationEntry> seen = new ArrayList<>();
    List<InvocationEntry> snapshot = List.of();

    @Override
    public void apply(InvocationEntry entry) {
      seen.add(entry);
    }

    @Override
    public List<InvocationEntry> snapshot() {
      return snapshot;
    }

    @Override
    public long snapshotBytes() {
      return 0;
    }
  }

  private InvocationFile open(String name, Process process) throws IOException {
    return new InvocationFile(folder.getRoot().toPath(), name, process, logged::add);
  }

  private Path file() {
    return folder.getRoot().toPath().resolve("invocations-1.log");
  }

  private static void write(InvocationFile journal, InvocationEntry entry) {
    assertTrue(journal.lock());
    assertTrue(journal.append(entry));
    journal.unlock();
  }

  private static Ended served(String id, int bytes) {
    return new Ended(id, 4, new Result.Served(Buffer.buffer(new byte[bytes])));
  }

  @Test
  public void entriesReachTheOtherProcessInTheirOrder() throws Exception {
    Process reader = new Process();
    InvocationFile a = open("a", new Process());
    InvocationFile b = open("b", reader);
    List<InvocationEntry> entries =
        List.of(
            ACCEPTED,
            new Accepted("i2", null, null, true, 5, "a"),
            new Joined("i1", true),
            served("i1", 200_000),
            new Ended("i2", 4, new Result.Refused(7, true)),
            new Ended("i2", 4, new Result.Failed(true)),
            new Ended("i2", 4, new Result.Dropped()),
            new Ended("i2", 4, new Result.Cancelled()),
            new Deleted("i1"));
    entries.forEach(entry -> write(a, entry));
    b.poll();
    assertEquals(entries.size(), reader.seen.size());
    for (int i = 0; i < entries.size(); i++) {
      assertEquals("entry " + i, entries.get(i), reader.seen.get(i));
    }
    b.poll();
    assertEquals(entries.size(), reader.seen.size());
  }

  /** Guards against entries that are lost behind one whose writer was killed in its midst. */
  @Test
  public void anEntryThatWasNotWrittenToItsEndIsCutOff() throws Exception {
    write(open("a", new Process()), ACCEPTED);
    byte[] whole = Files.readAllBytes(file());
    for (int torn = 1; torn < whole.length; torn++) {
      Files.write(file(), whole);
      byte[] part = java.util.Arrays.copyOf(whole, torn);
      Files.write(file(), part, StandardOpenOption.APPEND);
      Process reader = new Process();
      InvocationFile b = open("b", new Process());
      InvocationFile c = open("c", reader);
      c.poll();
      assertEquals(List.of(ACCEPTED), reader.seen);
      write(b, new Joined("i1", true));
      c.poll();
      assertEquals("torn after " + torn, List.of(ACCEPTED, new Joined("i1", true)), reader.seen);
    }
  }

  /** Guards against a file that grows without a limit, and against readers of the one before. */
  @Test
  public void aFileThatHasGrownIsReplaced() throws Exception {
    Process writer = new Process();
    Process reader = new Process();
    InvocationFile a = open("a", writer);
    InvocationFile b = open("b", reader);
    writer.snapshot = List.of(ACCEPTED);
    for (int i = 0; i < 40; i++) {
      write(a, served("i" + i, 100_000));
      assertTrue("file of " + Files.size(file()), Files.size(file()) < 1_300_000);
    }
    b.poll();
    assertTrue(reader.seen.contains(ACCEPTED));
    assertEquals(served("i39", 100_000), reader.seen.get(reader.seen.size() - 1));
    write(b, new Deleted("i39"));
    a.poll();
    assertEquals(List.of(new Deleted("i39")), writer.seen);
  }

  /** Guards against an event loop that waits for a process that was stopped while it wrote. */
  @Test
  public void aProcessThatWasStoppedInItsMidstIsNotWaitedFor() throws Exception {
    InvocationFile a = open("a", new Process());
    try (FileChannel stopped =
        FileChannel.open(
            folder.getRoot().toPath().resolve("invocations.lock"), StandardOpenOption.WRITE)) {
      stopped.lock();
      assertFalse(a.lock());
      assertFalse(a.lock());
      assertEquals(logged.toString(), 1, logged.size());
    }
    assertTrue(a.lock());
    a.unlock();
  }
}
