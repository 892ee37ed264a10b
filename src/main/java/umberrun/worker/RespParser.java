package umberrun.worker;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into RESP arrays of bulk strings. The existing RESP client libraries cannot
 * be used, as they expect replies in the order of the commands, and workers reply in any order.
 */
final class RespParser implements Handler<Buffer> {
  private static final int MAX_PARTS = 16;
  private static final int MAX_BULK_BYTES = 1 << 20;

  /** The longest array: a body of the greatest length, and short strings. */
  private static final int MAX_ARRAY_BYTES = MAX_BULK_BYTES + (16 << 10);

  private static final int MAX_HEADER_LINE_BYTES = 32;

  /** The CR LF behind each header line and each bulk string. */
  private static final int TERMINATOR_BYTES = 2;

  private final Handler<List<Buffer>> arrayHandler;
  private final RecordParser records = RecordParser.newDelimited("\r\n");
  private final Runnable malformedHandler;

  /** The parts read so far of the current array, or null between two arrays. */
  private List<Buffer> parts;

  /** The number of parts in the current array. */
  private int expectedParts;

  /** The length of the bulk string to be read next, or -1 if a header line is next. */
  private int bulkBytes = -1;

  private boolean failed;
  private long arraysRead;

  /** Bytes received that do not yet form a whole record. */
  private long bufferedBytes;

  /** Bytes of the parts of the current array. */
  private long partBytes;

  /**
   * @param arrayHandler receives each whole array
   * @param malformedHandler runs once when the stream cannot be parsed; no arrays follow
   */
  RespParser(Handler<List<Buffer>> arrayHandler, Runnable malformedHandler) {
    this.arrayHandler = arrayHandler;
    this.malformedHandler = malformedHandler;
    records.maxRecordSize(MAX_HEADER_LINE_BYTES);
    records.handler(this::onRecord);
    records.exceptionHandler(e -> fail());
  }

  /** Encodes an array of bulk strings. */
  static Buffer command(Buffer... parts) {
    Buffer encoded = Buffer.buffer(64).appendString("*" + parts.length + "\r\n");
    for (Buffer part : parts) {
      encoded.appendString("$" + part.length() + "\r\n").appendBuffer(part).appendString("\r\n");
    }
    return encoded;
  }

  /** Whether the stream has stopped, for now, in the middle of an array. */
  boolean hasPartialArray() {
    return parts != null || bufferedBytes > 0;
  }

  /** What the received part of an array takes, in bytes. */
  long heldBytes() {
    return failed ? 0 : bufferedBytes + partBytes;
  }

  /** Returns how many whole arrays have been parsed. */
  long arraysRead() {
    return arraysRead;
  }

  @Override
  public void handle(Buffer chunk) {
    if (!failed) {
      bufferedBytes += chunk.length();
      records.handle(chunk);
    }
  }

  private void onRecord(Buffer record) {
    if (failed) {
      return;
    }
    bufferedBytes -= record.length() + (bulkBytes >= 0 ? 0 : TERMINATOR_BYTES);
    if (bulkBytes >= 0) {
      if (record.getByte(bulkBytes) != '\r' || record.getByte(bulkBytes + 1) != '\n') {
        fail();
        return;
      }
      parts.add(record.getBuffer(0, bulkBytes));
      partBytes += bulkBytes;
      bulkBytes = -1;
      records.delimitedMode("\r\n");
      records.maxRecordSize(MAX_HEADER_LINE_BYTES);
      if (parts.size() == expectedParts) {
        List<Buffer> whole = parts;
        parts = null;
        partBytes = 0;
        arraysRead++;
        arrayHandler.handle(whole);
      }
    } else if (parts == null) {
      expectedParts = headerNumber(record, '*', MAX_PARTS);
      parts = expectedParts > 0 ? new ArrayList<>(expectedParts) : null;
      if (expectedParts <= 0) {
        fail();
      }
    } else {
      bulkBytes = headerNumber(record, '$', MAX_BULK_BYTES);
      if (bulkBytes < 0 || partBytes + bulkBytes > MAX_ARRAY_BYTES) {
        fail();
      } else {
        records.fixedSizeMode(bulkBytes + TERMINATOR_BYTES);
        records.maxRecordSize(bulkBytes + TERMINATOR_BYTES);
      }
    }
  }

  /**
   * Returns the number in a header line, or -1 if the line does not start with {@code type}, has no
   * number or one above {@code max}.
   */
  private static int headerNumber(Buffer line, char type, int max) {
    if (line.length() < 2 || line.length() > MAX_HEADER_LINE_BYTES || line.getByte(0) != type) {
      return -1;
    }
    try {
      int number =
          Integer.parseInt(line.getString(1, line.length(), StandardCharsets.US_ASCII.name()));
      return number <= max ? number : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private void fail() {
    if (!failed) {
      failed = true;
      malformedHandler.run();
    }
  }
}
