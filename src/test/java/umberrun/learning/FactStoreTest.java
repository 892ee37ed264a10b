package umberrun.learning;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;
import static org.junit.Assert.fail;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.Test;
import saddlestall.Dispatcher.WorkerState;
import umberrun.learning.Fact.Kind;
import umberrun.learning.Fact.Subject;
import umberrun.learning.Fact.Value;
import umberrun.learning.FactFilter.WorkerStatus;
import umberrun.learning.FactPage.UnusablePage;

/** How facts merge and age, and which of them may not be believed. */
public class FactStoreTest {
  private static final long SECOND = 1_000_000;

  private static Fact fact(Kind kind, String worker, long seenAt, String origin) {
    return new Fact(
        new Subject(kind, worker, kind == Kind.WORKER ? 0 : 7),
        new Value(1, 2, 3, 4),
        origin,
        seenAt);
  }

  private static List<Fact> random(Random r, int n) {
    List<Fact> facts = new ArrayList<>();
    for (int i = 0; i < n; i++) { // few subjects and times, so that facts meet often
      facts.add(
          new Fact(
              new Subject(Kind.values()[r.nextInt(3)], "s" + r.nextInt(3), r.nextInt(2)),
              new Value(r.nextInt(2), r.nextInt(2), 0, 0),
              "o" + r.nextInt(3),
              r.nextInt(4)));
    }
    return facts;
  }

  private static Set<Fact> merged(List<Fact> facts) {
    FactStore k = new FactStore(1_000);
    facts.forEach(k::merge);
    return new HashSet<>(k.all());
  }

  /**
   * In whatever order, however often, and in whatever groups facts come, the same is known in the
   * end.
   */
  @Test
  public void mergingIsCommutativeAssociativeAndIdempotent() {
    for (int seed = 0; seed < 500; seed++) {
      Random r = new Random(seed);
      List<Fact> facts = random(r, 40);
      Set<Fact> expected = merged(facts);
      List<Fact> shuffled = new ArrayList<>(facts);
      shuffled.addAll(facts.subList(0, 20));
      Collections.shuffle(shuffled, r);
      assertEquals("seed " + seed, expected, merged(shuffled));
      List<Fact> groups = new ArrayList<>(merged(facts.subList(25, 40)));
      groups.addAll(merged(facts.subList(0, 25)));
      assertEquals("seed " + seed, expected, merged(groups));
    }
  }

  @Test
  public void aFloodOfFactsIsBoundedAndTheOldestGo() {
    FactStore k = new FactStore(100);
    for (int i = 0; i < 10_000; i++) {
      k.merge(fact(Kind.COPY, "s" + i, i, "o"));
    }
    assertTrue(k.size() <= 100);
    assertEquals(9_999, k.get(new Subject(Kind.COPY, "s9999", 7)).seenAt());
    assertFalse(
        "nonsense is left out",
        k.merge(
            new Fact(new Subject(Kind.WORKER, "s", 0), new Value(Double.NaN, 0, 0, 0), "o", 1)));
  }

  /**
   * Nothing revives a worker that the own list or an operator took out, nor makes one that started
   * anew look used.
   */
  @Test
  public void theOwnListAndBansWin() {
    FactFilter screen = new FactFilter(17 * SECOND, 30 * SECOND);
    long now = 100 * SECOND;
    Fact copy = fact(Kind.COPY, "s", now - SECOND, "o");
    Fact worker = fact(Kind.WORKER, "s", now - SECOND, "o");
    assertTrue(screen.admits(copy, new WorkerStatus(WorkerState.READY, 0), now));
    assertFalse("drained", screen.admits(copy, new WorkerStatus(WorkerState.DRAINING, 0), now));
    assertFalse("gone", screen.admits(copy, new WorkerStatus(WorkerState.GONE, 0), now));
    assertFalse("never listed", screen.admits(copy, null, now));
    assertFalse(
        "from before its start",
        screen.admits(copy, new WorkerStatus(WorkerState.READY, now - SECOND / 2), now));
    assertTrue(
        "from after it",
        screen.admits(copy, new WorkerStatus(WorkerState.READY, now - 2 * SECOND), now));
    assertFalse(
        "cold by the list",
        screen.admits(worker, new WorkerStatus(WorkerState.READY, now - 2 * SECOND), now));
    assertTrue(screen.admits(worker, new WorkerStatus(WorkerState.READY, 0), now));
    assertFalse(
        "too old",
        screen.admits(
            fact(Kind.COPY, "s", now - 31 * SECOND, "o"),
            new WorkerStatus(WorkerState.READY, 0),
            now));
  }

  /** From a far-off prior the half-life that facts really have is found. */
  @Test
  public void halfLivesAreMeasured() {
    for (long life : new long[] {2 * SECOND, 20 * SECOND}) {
      FactHalfLife c =
          new FactHalfLife(
              Map.of(Kind.COPY, 8 * SECOND, Kind.WORKER, SECOND, Kind.FUNCTION, SECOND));
      Random r = new Random(life);
      for (int i = 0; i < 2_000; i++) {
        long lasts = (long) (-Math.log(1 - r.nextDouble()) * life / Math.log(2));
        long age = (long) (r.nextDouble() * life / 2);
        c.record(Kind.COPY, age, lasts > age);
      }
      assertEquals(life, c.halfLife(Kind.COPY), 0.35 * life);
      assertEquals(0.5, c.weight(Kind.COPY, c.halfLife(Kind.COPY)), 0.01);
    }
  }

  /** Ages travel, so that clocks apart by minutes mean nothing; what the exchange took is added. */
  @Test
  public void aPageKeepsAgesWhateverTheClocks() throws Exception {
    long there = 900 * SECOND;
    long here = 17 * SECOND;
    List<Fact> facts =
        List.of(fact(Kind.COPY, "s", there - 3 * SECOND, "a"), fact(Kind.FUNCTION, "", there, "b"));
    FactPage page =
        FactPage.read(FactPage.write("e", 5 * SECOND, facts, 0, 10_000, there), here, SECOND / 2);
    assertEquals(
        List.of(here - 3 * SECOND - SECOND / 2, here - SECOND / 2),
        page.facts().stream().map(Fact::seenAt).toList());
    assertEquals(
        facts.stream().map(Fact::subject).toList(),
        page.facts().stream().map(Fact::subject).toList());
    assertEquals(
        facts.stream().map(Fact::origin).toList(),
        page.facts().stream().map(Fact::origin).toList());
    assertEquals(-1, page.next());
    assertEquals(5 * SECOND, page.uptime());
  }

  @Test
  public void pagesAreBoundedAndContinue() throws Exception {
    List<Fact> facts = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      facts.add(fact(Kind.COPY, "s" + i, i, "o"));
    }
    List<Fact> read = new ArrayList<>();
    long from = 0;
    int pages = 0;
    while (from >= 0) {
      String text = FactPage.write("e", 0, facts, (int) from, 1_000, 200);
      assertTrue(text.length() < 1_200);
      FactPage page = FactPage.read(text, 200, 0);
      read.addAll(page.facts());
      from = page.next();
      pages++;
    }
    assertEquals(100, read.size());
    assertTrue(pages > 3);
  }

  /**
   * Unknown fields and facts of unknown kinds are passed over; another form, nonsense and torn text
   * are refused.
   */
  @Test
  public void whatPeersSayIsCheckedBeforeUse() throws Exception {
    String item = "[0,\"s\",\"7\",5,\"o\",1,2,3,4]";
    FactPage page =
        FactPage.read(
            "{\"v\":1,\"epoch\":\"e\",\"uptime_ms\":1,\"next\":-1,\"new\":[1],\"facts\":["
                + item
                + ",[9,\"s\",\"7\",5,\"o\",1,2,3,4],[0,\"s\",\"7\",-5,\"o\",1,2,3,4],[1],\"x\"]}",
            SECOND,
            0);
    assertEquals(1, page.facts().size());
    for (String bad :
        List.of(
            "",
            "[]",
            "{}",
            "{\"v\":2}",
            "{\"v\":1,\"epoch\":\"e\",\"facts\":[" + item,
            "{\"v\":1,\"epoch\":\"e\",\"uptime_ms\":1,\"next\":-1,\"facts\":[[0,\"s\",\"zz\",5,\"o\",1,2,3,4]]}")) {
      try {
        FactPage.read(bad, 0, 0);
        fail(bad);
      } catch (UnusablePage expected) {
        // it says why
      }
    }
  }
}
