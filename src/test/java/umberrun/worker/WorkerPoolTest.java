package umberrun.worker;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import saddlestall.Dispatcher.State;
import saddlestall.benchlink.SettingsJson;
import umberrun.admission.Account;
import umberrun.config.Config.Names;
import umberrun.core.Clock;
import umberrun.core.Endpoint;
import umberrun.stats.Counters;

/** What the way to the workers keeps, and what it reads, without a socket. */
public class WorkerPoolTest {

  /** On a long day workers come and go by the hundred; most were never called from here. */
  @Test
  public void aGoneWorkerIsForgottenWithoutAConnection() throws Exception {
    Vertx vertx = Vertx.vertx();
    WorkerPool pool = new WorkerPool(vertx, new Clock(), new Counters(), SettingsJson.read("{}"),
        new Names(List.of("a"), List.of(), List.of(), List.of(), 1_000, 100, 1_000),
        new Account(256, false, false, false));
    for (int id = 0; id < 10; id++) {
      pool.update(id, endpoint(id, State.READY), 0);
      pool.update(id, endpoint(id, State.GONE), 1);
    }
    assertEquals(0, pool.known());
    vertx.close();
  }

  private static Endpoint endpoint(int id, State state) {
    return new Endpoint("s" + id, "127.0.0.1", 1, 0, 0, 0, state, 1, 0);
  }

  /** A line without an end is refused as soon as it is longer than any header. */
  @Test
  public void anEndlessLineIsGarbageAtOnce() {
    boolean[] garbage = {false};
    RespParser parser = new RespParser(parts -> { }, () -> garbage[0] = true);
    parser.handle(Buffer.buffer("*"));
    assertTrue(parser.isMidway());
    assertFalse(garbage[0]);
    parser.handle(Buffer.buffer("1".repeat(64)));
    assertTrue(garbage[0]);
  }

  /** Whatever pieces it comes in, and whole between two answers. */
  @Test
  public void aStreamIsCutIntoAnswers() {
    List<List<Buffer>> answers = new ArrayList<>();
    RespParser parser = new RespParser(answers::add, () -> answers.add(null));
    Buffer one = RespParser.command(Buffer.buffer("9b1f"), Buffer.buffer("200"), Buffer.buffer("-"),
        Buffer.buffer("x\r\ny".repeat(500)));
    for (byte b : Buffer.buffer().appendBuffer(one).appendBuffer(one).getBytes()) {
      parser.handle(Buffer.buffer(new byte[] {b}));
    }
    assertEquals(2, answers.size());
    assertEquals(answers.get(0), answers.get(1));
    assertEquals(2, parser.read());
    assertFalse(parser.isMidway());
  }
}
