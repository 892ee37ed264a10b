package umberrun.handover;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.Callable;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.FutureTask;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import umberrun.handover.HandoverStore.OtherProcess;
import umberrun.handover.HandoverStore.SuspensionState;

/**
 * What the files that processes of one front end share keep through crashes, torn writes and
 * processes that died.
 */
public class HandoverStoreTest {
  @Rule public final TemporaryFolder folder = new TemporaryFolder();
  private final List<String> said = new ArrayList<>();
  private Path shared;

  @Before
  public void where() {
    shared = folder.getRoot().toPath().resolve("front");
  }

  private HandoverStore ledger(String id) throws IOException {
    return new HandoverStore(shared, id, said::add);
  }

  /**
   * Two processes of one front end that start at the same instant, for the first time ever: both
   * share one folder.
   */
  @Test
  public void twoThatStartAtOnceShareAFolder() throws Exception {
    for (int round = 0; round < 200; round++) {
      Path temporary = folder.newFolder().toPath();
      CyclicBarrier start = new CyclicBarrier(2);
      Callable<Path> first =
          () -> {
            start.await();
            return Handover.folder(temporary, "n1", "0badcafe");
          };
      FutureTask<Path> other = new FutureTask<>(first);
      new Thread(other).start();
      assertEquals(first.call(), other.get());
    }
  }

  /**
   * Guards a process that begins against one that looks for the dead at that moment: it would be
   * missed for as long as it lives.
   */
  @Test
  public void oneThatBeginsIsNotTakenForDead() throws Exception {
    HandoverStore elder = ledger("elder");
    AtomicBoolean over = new AtomicBoolean();
    Thread looks =
        new Thread(
            () -> {
              while (!over.get()) {
                elder.others();
              }
            });
    looks.start();
    try {
      for (int i = 0; i < 300; i++) {
        HandoverStore begins = ledger("b" + i);
        begins.present(true, 0);
        assertTrue(
            "process " + i + " is missed", Files.exists(shared.resolve("process-b" + i + ".lock")));
        begins.close();
      }
    } finally {
      over.set(true);
      looks.join();
    }
  }

  @Test
  public void whatOneWritesTheOtherReads() throws Exception {
    HandoverStore a = ledger("a");
    HandoverStore b = ledger("b");
    assertEquals(SuspensionState.EMPTY, b.read());
    assertFalse(b.isChanged());
    a.update(s -> Handover.changed(s, "s-1", true, 50));
    assertTrue(b.isChanged());
    assertEquals(new SuspensionState(1, Map.of("s-1", 50L), Map.of()), b.read());
    b.update(s -> Handover.changed(Handover.changed(s, "s-2", true, 60), "s-1", false, 70));
    assertEquals(new SuspensionState(2, Map.of("s-2", 60L), Map.of("s-1", 70L)), a.read());
    assertTrue(said.isEmpty());
  }

  /** Two that write at once lose nothing. */
  @Test
  public void changesDoNotOverwriteEachOther() throws Exception {
    CyclicBarrier round = new CyclicBarrier(2);
    List<Thread> threads = new ArrayList<>();
    for (String id : List.of("a", "b")) {
      HandoverStore l = ledger(id);
      threads.add(
          new Thread(
              () -> {
                for (int i = 0; i < 10; i++) {
                  String worker = id + i;
                  try {
                    round.await(); // else the first takes all its turns while the other waits for
                    // one
                    l.update(s -> Handover.changed(s, worker, true, 1));
                  } catch (IOException | InterruptedException | BrokenBarrierException e) {
                    said.add(e.toString());
                  }
                }
              }));
    }
    threads.forEach(Thread::start);
    for (Thread t : threads) {
      t.join();
    }
    assertEquals(List.of(), said);
    assertEquals(20, ledger("c").read().out().size());
  }

  /** A torn, foreign, older or huge file counts as none, and is said. */
  @Test
  public void aFileThatCantBeUsedCountsAsEmpty() throws Exception {
    HandoverStore l = ledger("a");
    for (String text :
        List.of(
            "{\"v\":1,\"seq\":",
            "",
            "[]",
            "{\"v\":2,\"seq\":1,\"suspended\":{},\"resumed\":{}}",
            "{\"v\":1,\"seq\":1}",
            "{\"v\":1,\"seq\":1,\"suspended\":{\"s\":\"x\"},\"resumed\":{}}",
            " ".repeat(2 << 20))) {
      Files.writeString(shared.resolve("state.json"), text);
      said.clear();
      assertEquals(text, SuspensionState.EMPTY, l.read());
      assertEquals(text, 1, said.size());
    }
  }

  /** Whoever ends, or was killed, no longer counts, and what it left is removed. */
  @Test
  public void onlyProcessesThatLiveCount() throws Exception {
    HandoverStore a = ledger("a");
    HandoverStore b = ledger("b");
    assertEquals(List.of(new OtherProcess(false, 0)), a.others());
    b.present(true, 3);
    assertEquals(List.of(new OtherProcess(true, 3)), a.others());
    b.close();
    Files.writeString(shared.resolve("process-killed.lock"), "");
    Files.writeString(shared.resolve("process-killed.json"), "{\"ready\":true,\"applied\":3}");
    assertEquals(List.of(), a.others());
    try (var files = Files.list(shared)) {
      assertEquals(2, files.count());
    }
  }
}
