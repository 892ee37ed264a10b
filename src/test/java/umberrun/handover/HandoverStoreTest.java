package umberrun.handover;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.Callable;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import umberrun.core.Clock;
import umberrun.handover.HandoverStore.OtherProcess;
import umberrun.handover.HandoverStore.SuspensionState;

/**
 * The shared files of one front end's processes survive crashes, torn writes and dead processes.
 */
public class HandoverStoreTest {
  @Rule public final TemporaryFolder folder = new TemporaryFolder();
  private final Clock clock = new Clock();
  private final List<String> logged = new ArrayList<>();
  private Path shared;

  @Before
  public void setUp() {
    shared = folder.getRoot().toPath().resolve("front");
  }

  private HandoverStore store(String id) throws IOException {
    return new HandoverStore(shared, id, clock, logged::add);
  }

  /**
   * Guards against a live process that counts as dead because the files of another one vanish while
   * the folder is read; the calls of a dead process are ended as failed by the others.
   */
  @Test
  public void aProcessThatEndsHidesNoOtherOne() throws Exception {
    HandoverStore reader = store("a");
    HandoverStore b = store("b");
    HandoverStore c = store("c");
    for (int i = 0; i < 20; i++) {
      // Its target does not exist, so it is listed and can't be opened.
      Files.createSymbolicLink(shared.resolve("process-gone" + i + ".lock"), shared.resolve("x"));
    }
    assertEquals(2, reader.otherProcesses().size());
    // They are closed here, and not by the garbage collector before.
    b.close();
    c.close();
  }

  /**
   * Two processes of one front end that start at the same time for the first time use one folder.
   * The second must not read a partially written deployment mark.
   */
  @Test
  public void processesStartedAtTheSameTimeShareAFolder() throws Exception {
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
   * A process that removes the files of dead ones must not remove those of a process that is just
   * starting, which the others would not see for the rest of its life.
   */
  @Test
  public void aStartingProcessIsNotTakenForDead() throws Exception {
    HandoverStore running = store("elder");
    AtomicBoolean finished = new AtomicBoolean();
    FutureTask<Void> cleaner =
        new FutureTask<>(
            () -> {
              while (!finished.get()) {
                running.otherProcesses();
              }
              return null;
            });
    new Thread(cleaner).start();
    try {
      for (int i = 0; i < 300; i++) {
        HandoverStore starting = store("b" + i);
        starting.writeProgress(true, 0);
        assertTrue(
            "process " + i + " is missing",
            Files.exists(shared.resolve("process-b" + i + ".lock")));
        starting.close();
      }
    } finally {
      finished.set(true);
      cleaner.get();
    }
  }

  @Test
  public void aProcessReadsWhatTheOtherWrote() throws Exception {
    HandoverStore a = store("a");
    HandoverStore b = store("b");
    assertEquals(SuspensionState.EMPTY, b.read());
    assertFalse(b.isChanged());
    a.update(state -> Handover.changed(state, "s-1", true, 50));
    assertTrue(b.isChanged());
    assertEquals(new SuspensionState(1, Map.of("s-1", 50L), Map.of()), b.read());
    b.update(state -> Handover.changed(Handover.changed(state, "s-2", true, 60), "s-1", false, 70));
    assertEquals(new SuspensionState(2, Map.of("s-2", 60L), Map.of("s-1", 70L)), a.read());
    assertTrue(logged.isEmpty());
  }

  /** Two processes that write at the same time lose no change. */
  @Test
  public void changesDoNotOverwriteEachOther() throws Exception {
    CyclicBarrier round = new CyclicBarrier(2);
    List<Thread> threads = new ArrayList<>();
    for (String id : List.of("a", "b")) {
      HandoverStore store = store(id);
      threads.add(
          new Thread(
              () -> {
                for (int i = 0; i < 10; i++) {
                  String worker = id + i;
                  try {
                    // Without the barrier, one thread makes all its changes while the other waits.
                    round.await();
                    store.update(state -> Handover.changed(state, worker, true, 1));
                  } catch (IOException | InterruptedException | BrokenBarrierException e) {
                    logged.add(e.toString());
                  }
                }
              }));
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    assertEquals(List.of(), logged);
    assertEquals(20, store("c").read().suspended().size());
  }

  /** A torn, foreign, older or oversized file counts as an empty state and is logged. */
  @Test
  public void anUnusableFileCountsAsEmpty() throws Exception {
    HandoverStore store = store("a");
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
      logged.clear();
      assertEquals(text, SuspensionState.EMPTY, store.read());
      assertEquals(text, 1, logged.size());
    }
  }

  /** Guards against times that are wrong in a successor since the system time was stepped. */
  @Test
  public void aStepOfTheSystemTimeBetweenTwoProcessesMovesNoTime() throws Exception {
    long hour = TimeUnit.HOURS.toMicros(1);
    for (long step : List.of(-hour, hour)) {
      Clock stepped = new Clock(clock.now() + step);
      HandoverStore before = store("before");
      HandoverStore after = new HandoverStore(shared, "after", stepped, logged::add);
      before.update(state -> Handover.changed(state, "s-1", true, clock.now()));
      before.update(state -> Handover.changed(state, "s-1", false, clock.now()));
      long age = stepped.now() - after.read().resumed().get("s-1");
      assertTrue("resumed " + age + " us ago", age >= 0 && age < hour / 2);
      after.update(state -> Handover.changed(state, "s-2", true, stepped.now()));
      age = clock.now() - before.read().suspended().get("s-2");
      assertTrue("suspended " + age + " us ago", age >= 0 && age < hour / 2);
      before.writeFacts("{}");
      // As the system time says after the step.
      Files.setLastModifiedTime(
          shared.resolve("facts.json"),
          FileTime.fromMillis(System.currentTimeMillis() - TimeUnit.HOURS.toMillis(1)));
      assertEquals("{}", after.readFacts().page());
      assertTrue(after.readFacts().ageMicros() < hour / 2);
      before.close();
      after.close();
      Files.delete(shared.resolve("state.json"));
    }
  }

  /** Guards against a worker that counts as cold for days since the machine was restarted. */
  @Test
  public void timesFromBeforeARestartOfTheMachineAreNotAhead() throws Exception {
    HandoverStore store = store("a");
    store.update(state -> Handover.changed(state, "s-1", true, clock.now()));
    store.writeFacts("{}");
    long day = TimeUnit.DAYS.toMicros(1);
    String state = Files.readString(shared.resolve("state.json"));
    long origin = clock.toMachineTime(0);
    Files.writeString(
        shared.resolve("state.json"), state.replace("" + origin, "" + (origin + day)));
    Files.writeString(
        shared.resolve("facts.json"), clock.toMachineTime(clock.now() + day) + "\n{}");
    assertTrue(store.read().suspended().get("s-1") <= clock.now());
    assertNull(store.readFacts());
  }

  /** A file of a version that knew only the system time is still understood. */
  @Test
  public void filesOfAnEarlierVersionAreRead() throws Exception {
    HandoverStore store = store("a");
    Files.writeString(
        shared.resolve("state.json"),
        "{\"v\":1,\"seq\":3,\"suspended\":{\"s-1\":50},\"resumed\":{\"s-2\":60}}");
    assertEquals(new SuspensionState(3, Map.of("s-1", 50L), Map.of("s-2", 60L)), store.read());
    Files.writeString(shared.resolve("facts.json"), "{}");
    assertEquals("{}", store.readFacts().page());
  }

  /** Processes that ended or were killed are not listed, and their files are removed. */
  @Test
  public void onlyLiveProcessesAreListed() throws Exception {
    HandoverStore a = store("a");
    HandoverStore b = store("b");
    assertEquals(List.of(new OtherProcess("process-b", false, 0)), a.otherProcesses());
    b.writeProgress(true, 3);
    assertEquals(List.of(new OtherProcess("process-b", true, 3)), a.otherProcesses());
    b.close();
    Files.writeString(shared.resolve("process-killed.lock"), "");
    Files.writeString(shared.resolve("process-killed.json"), "{\"ready\":true,\"applied\":3}");
    assertEquals(List.of(), a.otherProcesses());
    try (var files = Files.list(shared)) {
      assertEquals(2, files.count());
    }
  }
}
