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

/** Tests how facts merge and age, which of them are rejected, and how they are sent. */
public class FactStoreTest {
  private static final long SECOND = 1_000_000;
  private static final String OWN_ORIGIN = "self";

  private static Fact fact(Kind kind, String worker, long seenAt, String origin) {
    return new Fact(
        new Subject(kind, worker, kind == Kind.WORKER ? 0 : 7),
        new Value(1, 2, 3, 4),
        origin,
        seenAt);
  }

  /** Returns random facts of few subjects and times, so that they often conflict. */
  private static List<Fact> randomFacts(Random random, int count) {
    List<Fact> facts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      facts.add(
          new Fact(
              new Subject(
                  Kind.values()[random.nextInt(3)], "s" + random.nextInt(3), random.nextInt(2)),
              new Value(random.nextInt(2), random.nextInt(2), 0, 0),
              "o" + random.nextInt(3),
              random.nextInt(4)));
    }
    return facts;
  }

  private static Set<Fact> merged(List<Fact> facts) {
    FactStore store = new FactStore(1_000, OWN_ORIGIN);
    facts.forEach(store::merge);
    return new HashSet<>(store.all());
  }

  /** The result must not depend on the order, the repetition or the grouping of the facts. */
  @Test
  public void mergingIsCommutativeAssociativeAndIdempotent() {
    for (int seed = 0; seed < 500; seed++) {
      Random random = new Random(seed);
      List<Fact> facts = randomFacts(random, 40);
      Set<Fact> expected = merged(facts);
      List<Fact> shuffled = new ArrayList<>(facts);
      shuffled.addAll(facts.subList(0, 20));
      Collections.shuffle(shuffled, random);
      assertEquals("seed " + seed, expected, merged(shuffled));
      List<Fact> mergedGroups = new ArrayList<>(merged(facts.subList(25, 40)));
      mergedGroups.addAll(merged(facts.subList(0, 25)));
      assertEquals("seed " + seed, expected, merged(mergedGroups));
    }
  }

  @Test
  public void theNumberOfFactsIsBoundedAndTheOldestAreRemoved() {
    FactStore store = new FactStore(100, OWN_ORIGIN);
    for (int i = 0; i < 10_000; i++) {
      store.merge(fact(Kind.COPY, "s" + i, i, "o"));
    }
    assertTrue(store.size() <= 100);
    assertEquals(9_999, store.get(new Subject(Kind.COPY, "s9999", 7)).seenAt());
    assertFalse(
        "a value that is not a number is rejected",
        store.merge(
            new Fact(new Subject(Kind.WORKER, "s", 0), new Value(Double.NaN, 0, 0, 0), "o", 1)));
  }

  /**
   * A fact must neither bring back a worker that the own list or an operator removed, nor make a
   * worker that has restarted look warm.
   */
  @Test
  public void theOwnListAndSuspensionsTakePrecedence() {
    FactFilter filter = new FactFilter(17 * SECOND, 30 * SECOND);
    long now = 100 * SECOND;
    Fact copy = fact(Kind.COPY, "s", now - SECOND, "o");
    Fact worker = fact(Kind.WORKER, "s", now - SECOND, "o");
    assertTrue(filter.admits(copy, new WorkerStatus(WorkerState.READY, 0), now));
    assertFalse("drained", filter.admits(copy, new WorkerStatus(WorkerState.DRAINING, 0), now));
    assertFalse("gone", filter.admits(copy, new WorkerStatus(WorkerState.GONE, 0), now));
    assertFalse("never listed", filter.admits(copy, null, now));
    assertFalse(
        "from before its last start",
        filter.admits(copy, new WorkerStatus(WorkerState.READY, now - SECOND / 2), now));
    assertTrue(
        "from after its last start",
        filter.admits(copy, new WorkerStatus(WorkerState.READY, now - 2 * SECOND), now));
    assertFalse(
        "cold according to the list",
        filter.admits(worker, new WorkerStatus(WorkerState.READY, now - 2 * SECOND), now));
    assertTrue(filter.admits(worker, new WorkerStatus(WorkerState.READY, 0), now));
    assertFalse(
        "too old",
        filter.admits(
            fact(Kind.COPY, "s", now - 31 * SECOND, "o"),
            new WorkerStatus(WorkerState.READY, 0),
            now));
  }

  /** The estimate must reach the real half-life even from a very different initial value. */
  @Test
  public void halfLivesAreEstimated() {
    for (long halfLife : new long[] {2 * SECOND, 20 * SECOND}) {
      FactHalfLife estimator =
          new FactHalfLife(
              Map.of(Kind.COPY, 8 * SECOND, Kind.WORKER, SECOND, Kind.FUNCTION, SECOND));
      Random random = new Random(halfLife);
      for (int i = 0; i < 2_000; i++) {
        long validFor = (long) (-Math.log(1 - random.nextDouble()) * halfLife / Math.log(2));
        long age = (long) (random.nextDouble() * halfLife / 2);
        estimator.record(Kind.COPY, age, validFor > age);
      }
      assertEquals(halfLife, estimator.halfLife(Kind.COPY), 0.35 * halfLife);
      assertEquals(0.5, estimator.weight(Kind.COPY, estimator.halfLife(Kind.COPY)), 0.01);
    }
  }

  /**
   * Pages contain ages, so that clocks that differ by minutes do no harm; the duration of the
   * exchange is added.
   */
  @Test
  public void aPageKeepsAgesIfClocksDiffer() throws Exception {
    long senderNow = 900 * SECOND;
    long receiverNow = 17 * SECOND;
    List<Fact> facts =
        List.of(
            fact(Kind.COPY, "s", senderNow - 3 * SECOND, "a"),
            fact(Kind.FUNCTION, "", senderNow, "b"));
    FactPage page =
        FactPage.read(
            FactPage.write("e", 5 * SECOND, facts, 0, 10_000, senderNow), receiverNow, SECOND / 2);
    assertEquals(
        List.of(receiverNow - 3 * SECOND - SECOND / 2, receiverNow - SECOND / 2),
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
   * Unknown fields and facts of unknown kinds are ignored; another version, fields of the wrong
   * type and truncated text are rejected.
   */
  @Test
  public void pagesAreCheckedBeforeUse() throws Exception {
    String validFact = "[0,\"s\",\"7\",5,\"o\",1,2,3,4]";
    FactPage page =
        FactPage.read(
            "{\"v\":1,\"epoch\":\"e\",\"uptime_ms\":1,\"next\":-1,\"new\":[1],\"facts\":["
                + validFact
                + ",[9,\"s\",\"7\",5,\"o\",1,2,3,4],[0,\"s\",\"7\",-5,\"o\",1,2,3,4],[1],\"x\"]}",
            SECOND,
            0);
    assertEquals(1, page.facts().size());
    for (String invalid :
        List.of(
            "",
            "[]",
            "{}",
            "{\"v\":2}",
            "{\"v\":1,\"epoch\":\"e\",\"facts\":[" + validFact,
            "{\"v\":1,\"epoch\":\"e\",\"uptime_ms\":1,\"next\":-1,\"facts\":[[0,\"s\",\"zz\",5,\"o\",1,2,3,4]]}")) {
      try {
        FactPage.read(invalid, 0, 0);
        fail(invalid);
      } catch (UnusablePage expected) {
        // The page must be rejected.
      }
    }
  }
}
