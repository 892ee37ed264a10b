package umberrun.handover;

import static org.junit.Assert.assertEquals;

import java.nio.file.Files;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import umberrun.core.Clock;
import umberrun.core.RequestClaims.Outcome;

/** The claims of two processes that share a folder. */
public class RequestClaimFilesTest {
  @Rule public final TemporaryFolder folder = new TemporaryFolder();

  private RequestClaimFiles open(long self) {
    return new RequestClaimFiles(folder.getRoot().toPath(), self, new Clock(), text -> {});
  }

  @Test
  public void aClaimHoldsInBothDirectionsAndAfterItsProcess() {
    RequestClaimFiles first = open(1);
    RequestClaimFiles second = open(2);
    assertEquals(Outcome.GRANTED, first.claim(10));
    assertEquals(Outcome.TAKEN, second.claim(10));
    assertEquals(Outcome.GRANTED, second.claim(11));
    assertEquals(Outcome.TAKEN, first.claim(11));
    assertEquals(Outcome.TAKEN, first.claim(10));
    assertEquals(Outcome.TAKEN, open(3).claim(11));
  }

  @Test
  public void aReleasedClaimCanBeMadeAgainByAnyProcess() {
    RequestClaimFiles first = open(1);
    RequestClaimFiles second = open(2);
    assertEquals(Outcome.GRANTED, first.claim(10));
    first.release(10);
    assertEquals(Outcome.GRANTED, second.claim(10));
    // A late release of an earlier claim does not give up the claim of another process.
    first.release(10);
    assertEquals(Outcome.TAKEN, open(3).claim(10));
  }

  @Test
  public void nothingIsGrantedWithoutTheFolder() throws Exception {
    RequestClaimFiles claims = open(1);
    Files.delete(folder.getRoot().toPath());
    assertEquals(Outcome.UNAVAILABLE, claims.claim(10));
  }
}
