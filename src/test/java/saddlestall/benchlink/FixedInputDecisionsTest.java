package saddlestall.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays seeded days of a small platform to the decision module over the simulator's wire, and
 * compares the digest of all replies with that of an earlier version. A change of the code that is
 * not meant to change decisions must not change a digest.
 */
class FixedInputDecisionsTest {
  private static final String SETTINGS =
      """
      {"Classes": [{"Aim": 400, "GiveUp": 4000, "Group": "all", "Idempotency": "idempotent", "Worth": 1, "LateWorth": 0.2},
        {"Aim": 400, "GiveUp": 5000, "Group": "zone", "Idempotency": "deduplicated", "DedupWindow": 5000, "Worth": 3}],
       "FamilyInfo": {"CountsAlike": true, "FreeLoads": 4, "LoadsPerRequest": 0.15, "LoadsWithin": 5000, "MayLoad": true, "MissMode": "load", "StaysLoaded": 9000, "WarmNotes": true}, "Limits": {"ConnectTimeout": 250, "MaxRetryAfter": 1000, "MayDuplicate": true, "MostTries": 6, "RetryAfter": true}, "MembershipMode": "automatic", "OverShareWorth": 0.1, "Report": {"Via": "silent"},
       "Rules": {"Cold": 17000, "ColdFrom": 0.18, "DrainGrace": 1000, "Fall": 1000, "FallMultiple": 2},
       "Siblings": 3, "Tenants": [{"QuotaPerS": 300}, {"QuotaPerS": 100}], "Zone": 1, "Zones": ["a", "b", "c"]}""";

  private static final int WORKERS = 12;
  private static final int DAY_MILLIS = 90_000;
  private static final int STEP_MILLIS = 4;
  private static final double CALLS_PER_STEP = 0.6;
  private static final int POPULAR_FUNCTIONS = 40;
  private static final int LOAD_MILLIS = 900;
  private static final int RETENTION_MILLIS = 9_000;

  private record Due(double at, long order, byte[] event) {}

  private final BatchLoop loop = new BatchLoop();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          (a, b) -> a.at == b.at ? Long.compare(a.order, b.order) : Double.compare(a.at, b.at));
  private final Map<Integer, Long> functionOfCall = new HashMap<>();
  private final Map<Integer, Integer> attemptsOfCall = new HashMap<>();

  /** When each copy was last used, by worker and function; the load may still be under way. */
  private final Map<List<Long>, Double> usedAt = new HashMap<>();

  private MessageDigest digest;
  private Random random;
  private double now;
  private long order;

  private static ByteBuffer event(int code) {
    return ByteBuffer.allocate(FrameCodec.EVENT_BYTES).put((byte) code);
  }

  private void schedule(double at, ByteBuffer event) {
    due.add(new Due(at, order++, event.array()));
  }

  private static byte[] workerList(int draining, int restarted, double restartedAt) {
    ByteBuffer entries = ByteBuffer.allocate(23 * WORKERS);
    for (int id = 1; id <= WORKERS; id++) {
      entries
          .putShort((short) (id % 3))
          .put((byte) (id == draining ? 2 : 1))
          .putFloat(1)
          .putDouble(id == restarted ? restartedAt : 0)
          .putInt(0)
          .putInt(id);
    }
    return entries.array();
  }

  /** Sends a frame to the module, and carries out the actions of its reply. */
  private void exchange(List<byte[]> events, byte[] tail) throws IOException {
    ByteBuffer frame =
        ByteBuffer.allocate(16 + FrameCodec.EVENT_BYTES * events.size() + tail.length);
    frame.putInt(events.size()).putInt(frame.capacity()).putDouble(now);
    events.forEach(frame::put);
    frame.put(tail);
    ByteArrayOutputStream reply = new ByteArrayOutputStream();
    loop.run(new ByteArrayInputStream(frame.array()), reply);
    digest.update(reply.toByteArray());
    ByteBuffer actions = ByteBuffer.wrap(reply.toByteArray());
    int count = actions.getInt(0);
    for (int i = 0; i < count; i++) {
      actions.position(8 + FrameCodec.ACTION_BYTES * i);
      switch (actions.get()) {
        case 1 -> run(actions.getInt(), actions.getInt(), actions.getDouble());
        case 5 -> schedule(now + actions.getDouble(), event(7).putLong(actions.getLong()));
        case 13 -> load(actions.getInt(), actions.getLong());
        default -> {}
      }
    }
  }

  /** Answers an attempt; workers load what they lack, and some are slow, full or fail. */
  private void run(int call, int worker, double timeout) {
    long function = functionOfCall.get(call);
    int attempt = attemptsOfCall.merge(call, 1, Integer::sum) - 1;
    double last = usedAt.getOrDefault(List.of((long) worker, function), -1e9);
    boolean isWarm = now - last < RETENTION_MILLIS;
    boolean isTroubled = worker == 2 && now > 20_000 && now < 35_000;
    int code = isTroubled ? List.of(0, 5, 11, 104, 110).get(random.nextInt(5)) : 0;
    int slowness = isBusy() ? 6 : 1;
    double work = slowness * (40 + random.nextInt(60));
    double elapsed = code != 0 ? 5 : work + (isWarm ? Math.max(0, last - now) : LOAD_MILLIS);
    if (elapsed > timeout || code == 110) {
      code = 110;
      elapsed = timeout;
    }
    if (code == 0) {
      usedAt.put(List.of((long) worker, function), now + (isWarm ? 0 : LOAD_MILLIS));
    }
    schedule(
        now + elapsed,
        event(5)
            .putInt(call)
            .put((byte) attempt)
            .putInt(worker)
            .put((byte) code)
            .putDouble(elapsed)
            .put((byte) (code == 0 ? 1 : 0))
            .putInt(code == 0 ? (isWarm ? 1 : 2) : 0));
  }

  /** Whether there are more calls than usual, and workers are slow. */
  private boolean isBusy() {
    return now > 50_000 && now < 60_000;
  }

  private void load(int worker, long function) {
    usedAt.put(List.of((long) worker, function), now + LOAD_MILLIS);
    schedule(
        now + LOAD_MILLIS,
        event(11)
            .putDouble(LOAD_MILLIS)
            .put((byte) 1)
            .putInt(worker)
            .put((byte) 0)
            .putLong(function));
  }

  /** A call of a popular function, which others replace in the course of the day, or a rare one. */
  private byte[] call(int id) {
    boolean isRare = random.nextInt(25) == 0;
    long generation = (long) (now / 20_000);
    long popular = (long) (POPULAR_FUNCTIONS * random.nextDouble() * random.nextDouble());
    long function = isRare ? 1_000 + id : popular < 10 ? popular : 100 * generation + popular;
    functionOfCall.put(id, function);
    boolean isKeyed = random.nextInt(2) == 0;
    return event(3)
        .putInt(id)
        .putDouble(isKeyed ? 5_000 : 4_000)
        .putDouble(0)
        .putLong(function)
        .putFloat(4)
        .putFloat(3_000)
        .put((byte) (isKeyed ? 1 : 0))
        .putShort((short) random.nextInt(2))
        .put((byte) 0)
        .putFloat(LOAD_MILLIS)
        .array();
  }

  private void list(int draining, int restarted, double restartedAt) throws IOException {
    exchange(
        List.of(
            event(12).putShort((short) 0).putInt(0).putInt(WORKERS).array(),
            event(2).put((byte) 1).putLong(1).putShort((short) 0).array()),
        workerList(draining, restarted, restartedAt));
  }

  private String play(long seed) throws Exception {
    digest = MessageDigest.getInstance("SHA-256");
    random = new Random(seed);
    byte[] settings = SETTINGS.getBytes(StandardCharsets.UTF_8);
    exchange(
        List.of(
            event(13).putInt(0).array(),
            event(1).putLong(seed).putInt(0).putInt(settings.length).array()),
        settings);
    list(0, 0, 0);
    int calls = 0;
    for (now = STEP_MILLIS; now < DAY_MILLIS; now += STEP_MILLIS) {
      if (now == 30_000) {
        list(5, 0, 0);
      } else if (now == 40_000) {
        list(0, 5, now);
      }
      List<byte[]> events = new ArrayList<>();
      while (!due.isEmpty() && due.peek().at <= now) {
        events.add(due.poll().event);
      }
      double rate = CALLS_PER_STEP * (isBusy() ? 2 : 1);
      for (double n = random.nextDouble(); n < rate; n++) {
        events.add(call(++calls));
      }
      if (!events.isEmpty()) {
        exchange(events, new byte[0]);
      }
    }
    return calls + " " + HexFormat.of().formatHex(digest.digest(), 0, 8);
  }

  /** Guards against a change of decisions by what is meant to bound memory only. */
  @ParameterizedTest
  @CsvSource({"1,15035 8709c835ea5fb8a0", "2,14981 2ca575eb5680cff3", "3,15006 576d7107c731f60c"})
  void decisionsStayAsTheyWere(long seed, String expected) throws Exception {
    assertEquals(expected, play(seed));
  }
}
