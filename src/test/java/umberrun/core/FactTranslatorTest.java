package umberrun.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;
import saddlestall.Dispatcher.CopyStatus;
import saddlestall.Dispatcher.FunctionObservation;
import saddlestall.Dispatcher.WorkerState;
import saddlestall.benchlink.SettingsJson;
import umberrun.learning.Fact;
import umberrun.learning.Fact.Kind;
import umberrun.learning.Fact.Subject;
import umberrun.learning.Fact.Value;
import umberrun.learning.FactFilter.WorkerStatus;

/** What is kept of the facts that front ends exchange. */
public class FactTranslatorTest {
  private static final long SECOND = 1_000_000;
  private static final int FLOOD = 20_000;
  private static final int MAX_FACTS = 8_192;
  private static final long OWN_FUNCTION = 7;

  private final FactTranslator translator =
      new FactTranslator(SettingsJson.read("{\"FamilyInfo\": {\"StaysLoaded\": 8600}}"));

  private void report(Kind kind, long function, long now) {
    Subject subject = new Subject(kind, kind == Kind.COPY ? "w1" : "", function);
    Fact fact = new Fact(subject, new Value(0, 1, 0, 1), "peer", now);
    translator.mergeRemote(fact, 1, new WorkerStatus(WorkerState.READY, 0), now);
  }

  /** Guards against ids of a peer's callers that push out what this front end passes on. */
  @Test
  public void ownFactsOutliveAFloodFromAPeerAndComeFirst() {
    long now = 100 * SECOND;
    translator.forgetOwn();
    translator.recordObservation(
        new FunctionObservation(OWN_FUNCTION, 0, 4, 0, 9, 20 * SECOND, 1), id -> null, now);
    for (int i = 0; i < FLOOD; i++) {
      report(Kind.FUNCTION, 1_000 + i, now);
    }
    List<Fact> facts = translator.facts();
    assertTrue("facts: " + facts.size(), facts.size() <= MAX_FACTS);
    assertEquals(OWN_FUNCTION, facts.get(0).subject().function());
  }

  /** Guards against copies that are never verified and take the room of all later ones. */
  @Test
  public void roomForReportedCopiesComesBack() {
    long now = 100 * SECOND;
    for (int i = 0; i < FLOOD; i++) {
      report(Kind.COPY, i, now);
    }
    now += 60 * SECOND;
    long before = translator.halfLife(Kind.COPY);
    for (int i = 0; i < 200; i++) {
      report(Kind.COPY, FLOOD + i, now);
      translator.verifyCopy(1, FLOOD + i, CopyStatus.BEGAN_LOAD, now + 5 * SECOND);
    }
    assertNotEquals(before, translator.halfLife(Kind.COPY));
  }
}
